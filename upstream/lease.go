package upstream

import (
	"sync"
	"time"

	"savorystep"
)

// A lease is a slot on an endpoint together with the budget units that a
// request needs.
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

// valid returns an error if a budget unit has expired.
func (l *lease) checkPermits(now time.Time) error {
	for _, permit := range l.permits {
		if !permit.Valid(now) {
			return errPermitExpired
		}
	}
	return nil
}

// freeSlot gives the slot back. Only the first call counts.
func (l *lease) releaseSlot(heldFor time.Duration) {
	l.slotOnce.Do(func() { l.group.releaseSlot(l.endpoint, heldFor) })
}

// free gives the slot and the budget units back. Only the first call counts.
func (l *lease) release(heldFor time.Duration) {
	l.releaseSlot(heldFor)
	l.permitsOnce.Do(func() {
		for _, permit := range l.permits {
			permit.Release()
		}
	})
}
