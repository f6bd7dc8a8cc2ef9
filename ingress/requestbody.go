package ingress

import (
	"errors"
	"net/http"
	"os"
	"time"

	"savorystep/http1"
)

// defaultMaxBodyBytes bounds a request body if the routing states no limit.
const defaultMaxBodyBytes = 64 << 20

// A bodyLimit bounds the body of a request.
type bodyLimit struct {
	maxBytes int64
	// deadline is when the whole body must have arrived.
	deadline time.Time
}

// readBody reads the whole body and reserves memory for it. It returns a reply if
// the body exceeds a limit or does not arrive completely.
func readBody(w http.ResponseWriter, r *http.Request, limit bodyLimit, reservation *http1.Reservation) ([]byte, *localReply) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	maxBytes := limit.maxBytes
	if maxBytes <= 0 {
		maxBytes = defaultMaxBodyBytes
	}
	tooLarge := &localReply{status: http.StatusRequestEntityTooLarge, reason: "the body is too large"}
	if r.ContentLength > maxBytes {
		w.Header().Set("Connection", "close")
		return nil, tooLarge
	}
	controller := http.NewResponseController(w)
	setDeadline(controller.SetReadDeadline, limit.deadline)
	body, err := reservation.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes), r.ContentLength)
	if err == nil {
		// From now on the server reads from the connection to detect when the caller
		// closes it. After an error it reads the rest of the body, until the deadline.
		setDeadline(controller.SetReadDeadline, time.Time{})
	}
	var tooLargeErr *http.MaxBytesError
	switch {
	case errors.As(err, &tooLargeErr):
		return nil, tooLarge
	case errors.Is(err, http1.ErrBudgetExceeded):
		w.Header().Set("Connection", "close")
		return nil, unavailable("the instance holds too many bodies")
	case errors.Is(err, os.ErrDeadlineExceeded):
		w.Header().Set("Connection", "close")
		return nil, &localReply{status: http.StatusRequestTimeout, reason: "the body did not come in time"}
	case err != nil:
		return nil, &localReply{status: http.StatusBadRequest, reason: "the body ended early"}
	}
	return body, nil
}

// setDeadline sets a deadline of a caller's connection. It ignores writers without
// deadlines, such as the recorders of tests.
func setDeadline(set func(time.Time) error, at time.Time) {
	if err := set(at); err != nil && !errors.Is(err, errors.ErrUnsupported) {
		log.Debugf("set deadline of a caller's connection: %v", err)
	}
}
