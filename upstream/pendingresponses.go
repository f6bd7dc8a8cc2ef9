package upstream

import (
	"sync"

	"savorystep"
)

// An unstored keeps the answers whose storing goes on in the background, so that a
// request that is sent again to this instance gets its answer at once.
type pendingResponses struct {
	mu        sync.Mutex
	responses map[pendingKey]pendingResponse
}

// An unstoredKey names a keyed request.
type pendingKey struct {
	service savorystep.Service
	key     savorystep.IdempotencyKey
}

// An unstoredAnswer is an answer with the fingerprint of its request.
type pendingResponse struct {
	fingerprint savorystep.Fingerprint
	response    *savorystep.StoredResponse
}

// newUnstored returns an empty set.
func newPendingResponses() *pendingResponses {
	return &pendingResponses{responses: make(map[pendingKey]pendingResponse)}
}

// keyOf returns the name of a request.
func keyOf(request *savorystep.Request) pendingKey {
	return pendingKey{service: request.Service, key: request.IdempotencyKey}
}

// add keeps the answer to a request.
func (u *pendingResponses) add(request *savorystep.Request, response *savorystep.StoredResponse) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.responses[keyOf(request)] = pendingResponse{fingerprint: request.Fingerprint, response: response}
}

// remove forgets the answer to a request.
func (u *pendingResponses) remove(request *savorystep.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.responses, keyOf(request))
}

// find returns the answer to a request, nil if there is none. The error has
// kind KindKeyConflict if the key belongs to another request.
func (u *pendingResponses) find(request *savorystep.Request) (*savorystep.StoredResponse, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	found, ok := u.responses[keyOf(request)]
	if !ok {
		return nil, nil
	}
	if found.fingerprint != request.Fingerprint {
		return nil, savorystep.NewError(savorystep.KindKeyConflict, "the key belongs to another request")
	}
	return found.response, nil
}
