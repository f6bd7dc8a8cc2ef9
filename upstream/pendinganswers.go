package upstream

import (
	"sync"

	"savorystep"
)

// An unstored keeps the answers whose storing goes on in the background, so that a
// request that is sent again to this instance gets its answer at once.
type pendingAnswers struct {
	mu      sync.Mutex
	answers map[pendingKey]pendingAnswer
}

// An unstoredKey names a keyed request.
type pendingKey struct {
	service savorystep.Service
	key     savorystep.IdempotencyKey
}

// An unstoredAnswer is an answer with the fingerprint of its request.
type pendingAnswer struct {
	fingerprint savorystep.Fingerprint
	answer      *savorystep.StoredResponse
}

// newUnstored returns an empty set.
func newPendingAnswers() *pendingAnswers {
	return &pendingAnswers{answers: make(map[pendingKey]pendingAnswer)}
}

// keyOf returns the name of a request.
func keyOf(request *savorystep.Request) pendingKey {
	return pendingKey{service: request.Service, key: request.IdempotencyKey}
}

// add keeps the answer to a request.
func (u *pendingAnswers) add(request *savorystep.Request, answer *savorystep.StoredResponse) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.answers[keyOf(request)] = pendingAnswer{fingerprint: request.Fingerprint, answer: answer}
}

// remove forgets the answer to a request.
func (u *pendingAnswers) remove(request *savorystep.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.answers, keyOf(request))
}

// find returns the answer to a request, nil if there is none. The error has
// kind KindKeyConflict if the key belongs to another request.
func (u *pendingAnswers) find(request *savorystep.Request) (*savorystep.StoredResponse, error) {
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
