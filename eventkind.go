package savorystep

// An EventKind is the kind of an event on the time line.
type EventKind string

// The kinds of events.
const (
	EventApply      EventKind = "apply"
	EventDrain      EventKind = "drain"
	EventEject      EventKind = "eject"
	EventFault      EventKind = "fault"
	EventForce      EventKind = "force"
	EventGrant      EventKind = "grant"
	EventMember     EventKind = "member"
	EventPlatform   EventKind = "platform"
	EventQuarantine EventKind = "quarantine"
	EventReady      EventKind = "ready"
	EventRefuse     EventKind = "refuse"
	EventRetry      EventKind = "retry"
	EventShift      EventKind = "shift"
	EventStart      EventKind = "start"
	EventStop       EventKind = "stop"
	EventSuspect    EventKind = "suspect"
)
