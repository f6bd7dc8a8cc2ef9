package upstream

import (
	"sync"
	"time"

	"savorystep"
)

// A lease is a slot on an endpoint together with the budget units that a
// request needs.
type lease struct {
	group    *group
	endpoint *endpoint
	link     *link
	info     savorystep.Endpoint
	decision savorystep.Decision
	holds    []savorystep.Permit
	slot     sync.Once
	units    sync.Once
}

// valid returns an error if a budget unit has expired.
func (l *lease) valid(now time.Time) error {
	for _, hold := range l.holds {
		if !hold.Valid(now) {
			return errHoldExpired
		}
	}
	return nil
}

// freeSlot gives the slot back. Only the first call counts.
func (l *lease) freeSlot(held time.Duration) {
	l.slot.Do(func() { l.group.giveBack(l.endpoint, held) })
}

// free gives the slot and the budget units back. Only the first call counts.
func (l *lease) free(held time.Duration) {
	l.freeSlot(held)
	l.units.Do(func() {
		for _, hold := range l.holds {
			hold.Release()
		}
	})
}
