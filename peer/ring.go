package peer

import (
	"slices"
	"sync"

	"savorystep"
)

var _ savorystep.EventRecorder = (*Ring)(nil)

// DefaultRingSize is the number of events that a ring keeps by default.
const DefaultRingSize = 4096

// A RingConfig configures a ring.
type RingConfig struct {
	// Self is the instance that records the events.
	Self savorystep.InstanceID
	// HLC stamps the events.
	HLC *HLC
	// Size is the greatest number of events kept. 0 means DefaultRingSize.
	Size int
}

// A Ring is a bounded buffer of events. It is safe for concurrent use.
type Ring struct {
	config RingConfig

	mu     sync.Mutex
	events []savorystep.Event
	// oldest is the index of the oldest event once the ring is full.
	oldest int
}

// NewRing returns an empty ring.
func NewRing(config RingConfig) *Ring {
	if config.Size <= 0 {
		config.Size = DefaultRingSize
	}
	if config.HLC == nil {
		config.HLC = NewHLC(savorystep.SystemClock{})
	}
	return &Ring{config: config}
}

// Events returns the kept events in order of their stamps.
func (r *Ring) Events() []savorystep.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Concat(r.events[r.oldest:], r.events[:r.oldest])
}

// Record keeps an event. It sets the stamp and the instance, and drops the
// oldest event when the ring is full.
func (r *Ring) Record(event savorystep.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// The stamp is taken under the lock, so that the order in the ring is the
	// order of the stamps.
	event.Timestamp = r.config.HLC.Now()
	event.Instance = r.config.Self
	if len(r.events) < r.config.Size {
		r.events = append(r.events, event)
		return
	}
	r.events[r.oldest] = event
	r.oldest = (r.oldest + 1) % len(r.events)
}
