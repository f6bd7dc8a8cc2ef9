package upstream

import (
	"sync"

	"savorystep"
)

// An unstored keeps the answers whose storing goes on in the background, so that a
// request that is sent again to this instance gets its answer at once.
type unstored struct {
	mu      sync.Mutex
	answers map[unstoredKey]unstoredAnswer
}

// An unstoredKey names a keyed request.
type unstoredKey struct {
	service savorystep.Service
	key     savorystep.IdempotencyKey
}

// An unstoredAnswer is an answer with the fingerprint of its request.
type unstoredAnswer struct {
	fingerprint savorystep.Fingerprint
	answer      *savorystep.StoredResponse
}

// newUnstored returns an empty set.
func newUnstored() *unstored {
	return &unstored{answers: make(map[unstoredKey]unstoredAnswer)}
}

// keyOf returns the name of a request.
func keyOf(request *savorystep.Request) unstoredKey {
	return unstoredKey{service: request.Service, key: request.IdempotencyKey}
}

// add keeps the answer to a request.
func (u *unstored) add(request *savorystep.Request, answer *savorystep.StoredResponse) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.answers[keyOf(request)] = unstoredAnswer{fingerprint: request.Fingerprint, answer: answer}
}

// remove forgets the answer to a request.
func (u *unstored) remove(request *savorystep.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.answers, keyOf(request))
}

// find returns the answer to a request, nil if there is none. The error has
// kind KindKeyConflict if the key belongs to another request.
func (u *unstored) find(request *savorystep.Request) (*savorystep.StoredResponse, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	found, ok := u.answers[keyOf(request)]
	if !ok {
		return nil, nil
	}
	if found.fingerprint != request.Fingerprint {
		return nil, savorystep.NewError(savorystep.KindKeyConflict, "the key belongs to another request")
	}
	return found.answer, nil
}
