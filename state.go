package savorystep

// A State is the lifecycle state of an instance or endpoint as listed by the
// platform.
type State string

// The states in the platform's list. The list lags behind the actual state, but
// never lists a running instance as ended.
const (
	StateEnded   State = "ended"
	StateLeaving State = "leaving"
	StateLive    State = "live"
)
