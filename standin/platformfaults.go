package standin

// PlatformFaults are the faults of a Platform. The zero value has none but the
// rate limits, which are then the default ones.
type PlatformFaults struct {
	// Down refuses all calls with status 503 before they take effect.
	Down bool `json:"down"`
	// Slow delays each response by this many milliseconds.
	Slow int `json:"slow"`
	// Lose lets this many commits take effect and answers them with an error.
	Lose int `json:"lose"`
	// Late answers commits with an error at once and lets them take effect
	// after this many milliseconds. 0 means no late commits.
	Late int `json:"late"`
	// Lag is the age of the lists in milliseconds.
	Lag int `json:"lag"`
	// Frozen keeps the lists as they are listed when it is set.
	Frozen bool `json:"frozen"`
	// Silent keeps the connections that are open when it is set without an
	// answer. Connections opened later work.
	Silent bool `json:"silent"`
	// Writes and Reads are the most calls per second. 0 means DefaultWrites
	// and DefaultReads, a negative number no limit.
	Writes float64 `json:"writes"`
	Reads  float64 `json:"reads"`
}

// The sustained rates of the platform's store, in calls per second.
const (
	DefaultReads  = 2000
	DefaultWrites = 500
)
