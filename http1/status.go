package http1

import (
	"net/http"
	"strings"

	"savorystep"
)

// maxStatus is the largest status that HTTP allows.
const maxStatus = 599

// CheckFinalStatus returns an error if no final response may have a status: HTTP does not
// allow it, or it is that of an interim response.
func CheckFinalStatus(status int) error {
	if status < http.StatusOK || status > maxStatus {
		return savorystep.NewError(savorystep.KindUpstreamFailed, "answer has status %03d, want %d to %d", status, http.StatusOK, maxStatus)
	}
	return nil
}

// checkHead returns an error if a head that http.ReadResponse accepts isn't one of HTTP/1: it
// takes any version, and keeps a name with a space, which is not the field that it looks like.
func checkHead(head *http.Response) error {
	if head.ProtoMajor != 1 {
		return savorystep.NewError(savorystep.KindUpstreamFailed, "answer has version %.20q, want one of HTTP/1", head.Proto)
	}
	for name := range head.Header {
		if strings.Contains(name, " ") {
			return savorystep.NewError(savorystep.KindUpstreamFailed, "head of the answer has the field name %.60q with a space", name)
		}
	}
	return nil
}

// isSkippedInterim reports whether a status is that of an interim response that a client
// must skip. A switch of protocols must not come unasked, and no request asks for one.
func isSkippedInterim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}
