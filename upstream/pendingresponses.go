package upstream

import (
	"sync"

	"savorystep"
)

// pendingResponses holds responses that are being stored in the background, so
// that a request with the same key to this instance gets its response without
// waiting for the table.
type pendingResponses struct {
	mu        sync.Mutex
	responses map[pendingKey]pendingResponse
}

// A pendingKey identifies a request with an idempotency key.
type pendingKey struct {
	service        savorystep.Service
	idempotencyKey savorystep.IdempotencyKey
}

// A pendingResponse is a response with the fingerprint of its request.
type pendingResponse struct {
	fingerprint savorystep.Fingerprint
	response    *savorystep.StoredResponse
}

// newPendingResponses returns an empty set.
func newPendingResponses() *pendingResponses {
	return &pendingResponses{responses: make(map[pendingKey]pendingResponse)}
}

// keyOf returns the key of a request's response.
func keyOf(request *savorystep.Request) pendingKey {
	return pendingKey{service: request.Service, idempotencyKey: request.IdempotencyKey}
}

// add records the response to a request.
func (p *pendingResponses) add(request *savorystep.Request, response *savorystep.StoredResponse) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.responses[keyOf(request)] = pendingResponse{fingerprint: request.Fingerprint, response: response}
}

// remove deletes the response to a request.
func (p *pendingResponses) remove(request *savorystep.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.responses, keyOf(request))
}

// find returns the response to a request, or nil if there is none. The error
// has kind KindKeyConflict if the key was used for a different request.
func (p *pendingResponses) find(request *savorystep.Request) (*savorystep.StoredResponse, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	found, ok := p.responses[keyOf(request)]
	if !ok {
		return nil, nil
	}
	if found.fingerprint != request.Fingerprint {
		return nil, savorystep.NewError(savorystep.KindKeyConflict, "idempotency key was already used for a different request")
	}
	return found.response, nil
}
