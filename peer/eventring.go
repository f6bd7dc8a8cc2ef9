package peer

import (
	"slices"
	"sync"

	"savorystep"
)

var _ savorystep.EventRecorder = (*EventRing)(nil)

// DefaultEventRingSize is the default capacity of an EventRing.
const DefaultEventRingSize = 4096

// An EventRingConfig configures an EventRing.
type EventRingConfig struct {
	// Self is the instance that records the events.
	Self savorystep.InstanceID
	// HLC provides the timestamps of the events. It defaults to a clock of its
	// own.
	HLC *HLC
	// Size is the maximum number of events, default DefaultEventRingSize.
	Size int
}

// An EventRing is a ring buffer of events. It is safe for concurrent use.
type EventRing struct {
	config EventRingConfig

	mu     sync.Mutex
	events []savorystep.Event
	// oldestIndex is the index of the oldest event once the ring is full.
	oldestIndex int
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

// Events returns the events ordered by timestamp.
func (r *EventRing) Events() []savorystep.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Concat(r.events[r.oldestIndex:], r.events[:r.oldestIndex])
}

// Record adds an event and sets its timestamp and instance. If the ring is
// full, it overwrites the oldest event.
func (r *EventRing) Record(event savorystep.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// The timestamp is taken under the mutex, so that the events are stored in
	// the order of their timestamps.
	event.Timestamp = r.config.HLC.Now()
	event.Instance = r.config.Self
	if len(r.events) < r.config.Size {
		r.events = append(r.events, event)
		return
	}
	r.events[r.oldestIndex] = event
	r.oldestIndex = (r.oldestIndex + 1) % len(r.events)
}
