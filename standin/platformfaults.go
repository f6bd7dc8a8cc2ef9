package standin

// PlatformFaults are the faults of a Platform. The zero value has none but the
// rate limits, which are then the default ones.
type PlatformFaults struct {
	// Down refuses all calls with status 503 before they take effect.
	Down bool `json:"down"`
	// DelayMillis delays each response by this many milliseconds.
	DelayMillis int `json:"slow"`
	// LoseResponses lets this many commits take effect and answers them with an error.
	LoseResponses int `json:"lose"`
	// CommitDelayMillis answers commits with an error at once and lets them take effect
	// after this many milliseconds. 0 means no late commits.
	CommitDelayMillis int `json:"late"`
	// ListLagMillis is the age of the lists in milliseconds.
	ListLagMillis int `json:"lag"`
	// FreezeLists keeps the lists as they are listed when it is set.
	FreezeLists bool `json:"frozen"`
	// Silent keeps the connections that are open when it is set without an
	// answer. Connections opened later work.
	Silent bool `json:"silent"`
	// MaxWritesPerSecond and Reads are the most calls per second. 0 means DefaultWrites
	// and DefaultReads, a negative number no limit.
	MaxWritesPerSecond float64 `json:"writes"`
	MaxReadsPerSecond  float64 `json:"reads"`
}

// The sustained rates of the platform's store, in calls per second.
const (
	DefaultMaxReadsPerSecond  = 2000
	DefaultMaxWritesPerSecond = 500
)
