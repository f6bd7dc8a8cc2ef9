package savorystep

// An EventRecorder keeps the recent events of an instance for the timeline.
type EventRecorder interface {
	// Events returns the recorded events, ordered by timestamp.
	Events() []Event
	// Record adds an event and sets its Timestamp and Instance. It never blocks;
	// a full recorder drops the oldest event.
	Record(event Event)
}
