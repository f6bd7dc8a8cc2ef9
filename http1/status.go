package http1

import (
	"net/http"

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

// isSkippedInterim reports whether a status is that of an interim response that a client
// must skip. A switch of protocols must not come unasked, and no request asks for one.
func isSkippedInterim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}
