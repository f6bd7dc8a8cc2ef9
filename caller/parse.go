package caller

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"savorystep"
)

// parseName validates the service name or alias that a caller sent.
func parseName(text string) (savorystep.Name, error) {
	if text == "" {
		return "", savorystep.NewError(savorystep.KindBadRequest, "the service name is missing")
	}
	if len(text) > maxServiceNameBytes {
		return "", savorystep.NewError(savorystep.KindBadRequest, "the service name has %d bytes, at most %d are allowed", len(text), maxServiceNameBytes)
	}
	for _, r := range text {
		if r <= ' ' || r == 0x7f {
			return "", savorystep.NewError(savorystep.KindBadRequest, "the service name contains a space or control character")
		}
	}
	return savorystep.Name(text), nil
}

// parseRevision parses a revision. The empty string is revision 0.
func parseRevision(text string) (savorystep.Revision, error) {
	if text == "" {
		return 0, nil
	}
	revision, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, savorystep.NewError(savorystep.KindBadRequest, "revision %q is not a whole number", truncate(text))
	}
	return savorystep.Revision(revision), nil
}

// parseDeadline returns the time that a request has left according to the
// Savorystep-Deadline header, which is in milliseconds, or defaultDeadline without
// that header.
func parseDeadline(header http.Header, defaultDeadline time.Duration) (time.Duration, error) {
	value := header.Get(savorystep.HeaderDeadline)
	if value == "" {
		return defaultDeadline, nil
	}
	millis, err := strconv.ParseInt(value, 10, 64)
	if err != nil || millis <= 0 || millis > maxDeadline.Milliseconds() {
		return 0, savorystep.NewError(savorystep.KindBadRequest,
			"%s %q is not a number of milliseconds from 1 to %d",
			savorystep.HeaderDeadline, truncate(value), maxDeadline.Milliseconds())
	}
	return time.Duration(millis) * time.Millisecond, nil
}

// parseToken returns the value of the header name: 1 to maxBytes visible ASCII
// characters. It is empty if the header is absent. Repeated headers are an error.
func parseToken(header http.Header, name string, maxBytes int) (string, error) {
	values := header.Values(name)
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 {
		return "", savorystep.NewError(savorystep.KindBadRequest, "%s is given %d times", name, len(values))
	}
	value := values[0]
	if value == "" || len(value) > maxBytes {
		return "", savorystep.NewError(savorystep.KindBadRequest, "%s has %d bytes, 1 to %d are allowed", name, len(value), maxBytes)
	}
	for _, r := range value {
		if r <= ' ' || r >= 0x7f {
			return "", savorystep.NewError(savorystep.KindBadRequest, "%s contains characters other than visible ASCII", name)
		}
	}
	return value, nil
}

// truncate returns at most the first 40 bytes of text, as valid UTF-8, for the detail
// of an error.
func truncate(text string) string {
	const maxBytes = 40
	text = strings.ToValidUTF8(text, "?")
	if len(text) <= maxBytes {
		return text
	}
	return text[:maxBytes] + "..."
}
