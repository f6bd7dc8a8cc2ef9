package savorystep

// A State is the state of an instance or endpoint in the platform's list.
type State string

// The states in the platform's list. A listed state may be late, but an
// instance that runs is never listed as ended.
const (
	StateEnded   State = "ended"
	StateLeaving State = "leaving"
	StateLive    State = "live"
)
