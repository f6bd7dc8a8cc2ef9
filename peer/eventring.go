package peer

import (
	"slices"
	"sync"

	"savorystep"
)

var _ savorystep.EventRecorder = (*EventRing)(nil)

// DefaultEventRingSize is the number of events that a ring keeps by default.
const DefaultEventRingSize = 4096

// An EventRingConfig configures a ring.
type EventRingConfig struct {
	// Self is the instance that records the events.
	Self savorystep.InstanceID
	// HLC stamps the events.
	HLC *HLC
	// Size is the greatest number of events kept. 0 means DefaultRingSize.
	Size int
}

// An EventRing is a bounded buffer of events. It is safe for concurrent use.
type EventRing struct {
	config EventRingConfig

	mu     sync.Mutex
	events []savorystep.Event
	// oldest is the index of the oldest event once the ring is full.
	oldest int
}

// NewEventRing returns an empty ring.
func NewEventRing(config EventRingConfig) *EventRing {
	if config.Size <= 0 {
		config.Size = DefaultEventRingSize
	}
	if config.HLC == nil {
		config.HLC = NewHLC(savorystep.SystemClock{})
	}
	return &EventRing{config: config}
}

// Events returns the kept events in order of their stamps.
func (r *EventRing) Events() []savorystep.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Concat(r.events[r.oldest:], r.events[:r.oldest])
}

// Record keeps an event. It sets the stamp and the instance, and drops the
// oldest event when the ring is full.
func (r *EventRing) Record(event savorystep.Event) {
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
