package savorystep

// A EventRecorder keeps the events of an instance for the time line.
type EventRecorder interface {
	// Events returns the kept events in order of their stamps.
	Events() []Event
	// Record keeps an event. It sets the stamp and the instance, never blocks
	// and drops the oldest event when full.
	Record(event Event)
}
