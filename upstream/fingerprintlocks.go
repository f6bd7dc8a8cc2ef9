package upstream

import (
	"context"
	"sync"

	"savorystep"
)

// singles lets one request with a fingerprint run at a time.
type fingerprintLocks struct {
	mu    sync.Mutex
	locks map[savorystep.Fingerprint]*fingerprintLock
}

// A single is the lock of one fingerprint with the count of its users.
type fingerprintLock struct {
	token chan struct{}
	users int
}

func newFingerprintLocks() *fingerprintLocks {
	return &fingerprintLocks{locks: make(map[savorystep.Fingerprint]*fingerprintLock)}
}

// lock waits until no other request with the fingerprint runs. The returned
// function ends the turn; only its first call counts.
func (s *fingerprintLocks) lock(ctx context.Context, key savorystep.Fingerprint) (func(), error) {
	s.mu.Lock()
	l := s.locks[key]
	if l == nil {
		l = &fingerprintLock{token: make(chan struct{}, 1)}
		s.locks[key] = l
	}
	l.users++
	s.mu.Unlock()
	select {
	case l.token <- struct{}{}:
		return sync.OnceFunc(func() {
			<-l.token
			s.release(key, l)
		}), nil
	case <-ctx.Done():
		s.release(key, l)
		return nil, ctx.Err()
	}
}

// leave forgets a lock without users.
func (s *fingerprintLocks) release(key savorystep.Fingerprint, l *fingerprintLock) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l.users--
	if l.users == 0 {
		delete(s.locks, key)
	}
}
