package caller

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"savorystep"
)

// parseName checks a name that a caller sent.
func parseName(text string) (savorystep.Name, error) {
	if text == "" {
		return "", savorystep.NewError(savorystep.KindBadRequest, "the name is missing")
	}
	if len(text) > maxNameBytes {
		return "", savorystep.NewError(savorystep.KindBadRequest, "the name is longer than %d bytes", maxNameBytes)
	}
	for _, r := range text {
		if r <= ' ' || r == 0x7f {
			return "", savorystep.NewError(savorystep.KindBadRequest, "the name holds a space or control character")
		}
	}
	return savorystep.Name(text), nil
}

// parseRevision reads a revision; the empty text is revision 0.
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

// parseDeadline reads the time left from the header in milliseconds.
func parseDeadline(header http.Header, byDefault time.Duration) (time.Duration, error) {
	text := header.Get(savorystep.HeaderDeadline)
	if text == "" {
		return byDefault, nil
	}
	millis, err := strconv.ParseInt(text, 10, 64)
	if err != nil || millis <= 0 || millis > maxDeadline.Milliseconds() {
		return 0, savorystep.NewError(savorystep.KindBadRequest,
			"%s %q is not a number of milliseconds from 1 to %d",
			savorystep.HeaderDeadline, truncate(text), maxDeadline.Milliseconds())
	}
	return time.Duration(millis) * time.Millisecond, nil
}

// parseToken reads a header that holds a token of visible ASCII characters.
func parseToken(header http.Header, name string, limit int) (string, error) {
	values := header.Values(name)
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 {
		return "", savorystep.NewError(savorystep.KindBadRequest, "%s is given twice", name)
	}
	text := values[0]
	if text == "" || len(text) > limit {
		return "", savorystep.NewError(savorystep.KindBadRequest, "%s must have 1 to %d bytes", name, limit)
	}
	for _, r := range text {
		if r <= ' ' || r >= 0x7f {
			return "", savorystep.NewError(savorystep.KindBadRequest, "%s may hold visible ASCII characters only", name)
		}
	}
	return text, nil
}

// truncate shortens a text for an error's detail.
func truncate(text string) string {
	const limit = 40
	text = strings.ToValidUTF8(text, "?")
	if len(text) <= limit {
		return text
	}
	return text[:limit] + "..."
}
