package upstream

import (
	"context"
	"sync"

	"savorystep"
)

// fingerprintLocks let one request with a fingerprint run at a time.
type fingerprintLocks struct {
	mu    sync.Mutex
	locks map[savorystep.Fingerprint]*fingerprintLock
}

// A fingerprintLock is the lock of one fingerprint. users counts the holder and
// the requests that wait for the lock.
type fingerprintLock struct {
	token chan struct{}
	users int
}

func newFingerprintLocks() *fingerprintLocks {
	return &fingerprintLocks{locks: make(map[savorystep.Fingerprint]*fingerprintLock)}
}

// lock waits until no other request holds the lock of the fingerprint, or until
// ctx ends. The returned function releases the lock; only its first call has an
// effect.
func (f *fingerprintLocks) lock(ctx context.Context, key savorystep.Fingerprint) (func(), error) {
	f.mu.Lock()
	l := f.locks[key]
	if l == nil {
		l = &fingerprintLock{token: make(chan struct{}, 1)}
		f.locks[key] = l
	}
	l.users++
	f.mu.Unlock()
	select {
	case l.token <- struct{}{}:
		return sync.OnceFunc(func() {
			<-l.token
			f.release(key, l)
		}), nil
	case <-ctx.Done():
		f.release(key, l)
		return nil, ctx.Err()
	}
}

// release deletes a lock without users.
func (f *fingerprintLocks) release(key savorystep.Fingerprint, l *fingerprintLock) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l.users--
	if l.users == 0 {
		delete(f.locks, key)
	}
}
