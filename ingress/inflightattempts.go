package ingress

import (
	"context"
	"errors"
	"sync"
	"syscall"

	"savorystep"
)

// errEndpointDown ends an attempt at an endpoint that another request found to be down.
var errEndpointDown = errors.New("another request found the endpoint to be down")

// inFlightAttempts are the inFlightAttempts under way that may be given up, by endpoint. A
// machine without power sends no reset, so a request that waits for an answer
// from there would wait until its deadline. It is safe for concurrent use.
type inFlightAttempts struct {
	mu         sync.Mutex
	byEndpoint map[savorystep.EndpointID]map[*context.CancelCauseFunc]struct{}
}

func newAttempts() *inFlightAttempts {
	return &inFlightAttempts{byEndpoint: make(map[savorystep.EndpointID]map[*context.CancelCauseFunc]struct{})}
}

// add lists an attempt until the returned function is called.
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

// cancelAll ends all attempts at an endpoint.
func (a *inFlightAttempts) cancelAll(id savorystep.EndpointID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for cancel := range a.byEndpoint[id] {
		(*cancel)(errEndpointDown)
	}
}

// isEndpointDown reports whether the end of an exchange shows for certain that the
// endpoint is down: its address refuses connections, or its machine acknowledged
// nothing for several retransmissions. A dial that timed out may be one lost
// packet.
func isEndpointDown(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ETIMEDOUT)
}
