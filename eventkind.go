package savorystep

// An EventKind is the kind of an event on the timeline.
type EventKind string

// The event kinds, in alphabetical order.
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
