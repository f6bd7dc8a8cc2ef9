package ingress

import (
	"context"
	"errors"
	"sync"
	"syscall"

	"savorystep"
)

// errEndpointDown cancels an attempt at an endpoint that another request found to
// be down.
var errEndpointDown = errors.New("another request found the endpoint to be down")

// inFlightAttempts holds the cancel functions of the attempts in flight that are
// safe to retry, by endpoint. A machine that loses power sends no TCP reset, so
// without cancellation a request to it would wait until its deadline. It is safe
// for concurrent use.
type inFlightAttempts struct {
	mu         sync.Mutex
	byEndpoint map[savorystep.EndpointID]map[*context.CancelCauseFunc]struct{}
}

func newInFlightAttempts() *inFlightAttempts {
	return &inFlightAttempts{byEndpoint: make(map[savorystep.EndpointID]map[*context.CancelCauseFunc]struct{})}
}

// add registers an attempt until the returned function is called.
func (a *inFlightAttempts) add(id savorystep.EndpointID, cancel context.CancelCauseFunc) (remove func()) {
	key := &cancel
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byEndpoint[id] == nil {
		a.byEndpoint[id] = make(map[*context.CancelCauseFunc]struct{})
	}
	a.byEndpoint[id][key] = struct{}{}
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.byEndpoint[id], key)
		if len(a.byEndpoint[id]) == 0 {
			delete(a.byEndpoint, id)
		}
	}
}

// cancelAll cancels all registered attempts at an endpoint with errEndpointDown.
func (a *inFlightAttempts) cancelAll(id savorystep.EndpointID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for cancel := range a.byEndpoint[id] {
		(*cancel)(errEndpointDown)
	}
}

// isEndpointDown reports whether the error of an exchange proves that the
// endpoint is down: its address refuses connections, or its machine acknowledged
// no retransmission within the TCP user timeout. A dial timeout is no proof,
// because a single lost packet can cause it.
func isEndpointDown(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ETIMEDOUT)
}
