package upstream

import (
	"sync"
	"time"

	"savorystep"
)

// A lease is a slot of an endpoint together with the permits that a request
// needs.
type lease struct {
	group       *group
	endpoint    *endpoint
	conns       *connSet
	info        savorystep.Endpoint
	decision    savorystep.Decision
	permits     []savorystep.Permit
	slotOnce    sync.Once
	permitsOnce sync.Once
}

// checkPermits returns errPermitExpired if a permit has expired.
func (l *lease) checkPermits(now time.Time) error {
	for _, permit := range l.permits {
		if !permit.Valid(now) {
			return errPermitExpired
		}
	}
	return nil
}

// releaseSlot releases the slot. Only the first call has an effect.
func (l *lease) releaseSlot(heldFor time.Duration) {
	l.slotOnce.Do(func() { l.group.releaseSlot(l.endpoint, heldFor) })
}

// release releases the slot and the permits. Only the first call has an effect.
func (l *lease) release(heldFor time.Duration) {
	l.releaseSlot(heldFor)
	l.permitsOnce.Do(func() {
		for _, permit := range l.permits {
			permit.Release()
		}
	})
}
