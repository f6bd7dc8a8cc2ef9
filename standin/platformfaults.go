package standin

// PlatformFaults are the faults of a Platform. The zero value has no faults and
// the default rate limits.
type PlatformFaults struct {
	// Down rejects all calls with status 503, without effect.
	Down bool `json:"down"`
	// DelayMillis is a delay before each call takes effect, in milliseconds.
	DelayMillis int `json:"slow"`
	// LoseResponses is the number of next commits that take effect but get status
	// 500.
	LoseResponses int `json:"lose"`
	// CommitDelayMillis makes commits get status 500 at once and take effect
	// after this time in milliseconds. 0 disables it.
	CommitDelayMillis int `json:"late"`
	// ListLagMillis is the age of the listed instances and endpoints in
	// milliseconds.
	ListLagMillis int `json:"lag"`
	// FreezeLists keeps the lists as they were listed when it was set.
	FreezeLists bool `json:"frozen"`
	// RestoreMillis restores the table, at the moment when it is set, from a copy of
	// itself of this age in milliseconds. The changes since are lost and their
	// versions are given out again, in the next era. The copy is at most two minutes
	// old, and objects and lists lose nothing.
	RestoreMillis int `json:"restore"`
	// Silent leaves calls on the connections that were open when it was set
	// without a response. Connections opened later work.
	Silent bool `json:"silent"`
	// MaxWritesPerSecond and MaxReadsPerSecond limit the rates of calls. Calls
	// beyond them get status 429. 0 means the default rate, a negative number no
	// limit.
	MaxWritesPerSecond float64 `json:"writes"`
	MaxReadsPerSecond  float64 `json:"reads"`
}

// The default limits, which are the sustained rates of the platform's store in
// calls per second.
const (
	DefaultMaxReadsPerSecond  = 2000
	DefaultMaxWritesPerSecond = 500
)
