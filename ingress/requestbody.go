package ingress

import (
	"errors"
	"net/http"
	"os"
	"time"

	"savorystep/http1"
)

// defaultMaxBodyBytes bounds a body while the configuration states no bound.
const defaultMaxBodyBytes = 64 << 20

// A bodyLimit bounds the body of a request.
type bodyLimit struct {
	maxBytes int64
	// deadline is when the whole body must be there.
	deadline time.Time
}

// readBody reads the whole body into a part of the budget for bodies.
func readBody(w http.ResponseWriter, r *http.Request, bound bodyLimit, part *http1.Reservation) ([]byte, *localReply) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	limit := bound.maxBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	tooLarge := &localReply{status: http.StatusRequestEntityTooLarge, reason: "the body is too large"}
	if r.ContentLength > limit {
		w.Header().Set("Connection", "close")
		return nil, tooLarge
	}
	controller := http.NewResponseController(w)
	setDeadline(controller.SetReadDeadline, bound.deadline)
	body, err := part.ReadAll(http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	// The server watches the connection for the end of the caller from now on.
	setDeadline(controller.SetReadDeadline, time.Time{})
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
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

// setDeadline sets a deadline of a connection. Recorders in tests have none.
func setDeadline(set func(time.Time) error, at time.Time) {
	if err := set(at); err != nil && !errors.Is(err, errors.ErrUnsupported) {
		log.Debugf("deadline of a caller's connection: %v", err)
	}
}
