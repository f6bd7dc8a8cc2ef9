package upstream

import (
	"sync"
	"time"

	"savorystep"
)

// A lease is a slot on an endpoint together with the budget units that a
// request needs.
type lease struct {
	group     *group
	endpoint  *endpoint
	conns     *connSet
	info      savorystep.Endpoint
	decision  savorystep.Decision
	holds     []savorystep.Permit
	slotOnce  sync.Once
	unitsOnce sync.Once
}

// valid returns an error if a budget unit has expired.
func (l *lease) checkHolds(now time.Time) error {
	for _, hold := range l.holds {
		if !hold.Valid(now) {
			return errHoldExpired
		}
	}
	return nil
}

// freeSlot gives the slot back. Only the first call counts.
func (l *lease) releaseSlot(held time.Duration) {
	l.slotOnce.Do(func() { l.group.releaseSlot(l.endpoint, held) })
}

// free gives the slot and the budget units back. Only the first call counts.
func (l *lease) release(held time.Duration) {
	l.releaseSlot(held)
	l.unitsOnce.Do(func() {
		for _, hold := range l.holds {
			hold.Release()
		}
	})
}
