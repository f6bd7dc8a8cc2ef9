package savorystep

// A Recorder keeps the events of an instance for the time line.
type Recorder interface {
	// Events returns the kept events in order of their stamps.
	Events() []Event
	// Record keeps an event. It sets the stamp and the instance, never blocks
	// and drops the oldest event when full.
	Record(event Event)
}
