package ingress

import (
	"context"
	"errors"
	"sync"
	"syscall"

	"savorystep"
)

// The causes with which an attempt is cancelled because another request found its
// endpoint to be down: nothing listens at its address, or its machine is silent.
var (
	errEndpointRefuses = errors.New("another request found that the endpoint refuses connections")
	errEndpointSilent  = errors.New("another request found that the endpoint acknowledges nothing")
)

// inFlightAttempts holds the cancel functions of the attempts in flight that are
// safe to retry, by incarnation of the endpoint. A machine that loses power sends no TCP reset, so
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

// cancelAll cancels all registered attempts at an endpoint.
func (a *inFlightAttempts) cancelAll(id savorystep.EndpointID, cause error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for cancel := range a.byEndpoint[id] {
		(*cancel)(cause)
	}
}

// endpointDownCause returns the cause with which the attempts at an endpoint are
// cancelled if the error of an exchange proves that it is down: its address refuses
// connections, or its machine acknowledged no retransmission within the TCP user
// timeout. Otherwise it returns nil. A dial timeout is no proof, because a single lost
// packet can cause it.
func endpointDownCause(err error) error {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return errEndpointRefuses
	case errors.Is(err, syscall.ETIMEDOUT):
		return errEndpointSilent
	default:
		return nil
	}
}
