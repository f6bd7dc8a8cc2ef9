package standin

import "savorystep"

// UpstreamRuns counts the requests that an Upstream has begun to run.
type UpstreamRuns struct {
	Total    int                               `json:"total"`
	Shed     int                               `json:"shed"`
	Requests map[savorystep.RequestID]int      `json:"requests"`
	Keys     map[savorystep.IdempotencyKey]int `json:"keys"`
	// Late counts requests that arrived while the endpoint drained, and
	// LateMillis is how long after the beginning of the drain the last one
	// arrived.
	Late       int   `json:"late"`
	LateMillis int64 `json:"lateMillis"`
	// Cancelled counts runs that ended because the connection ended or the
	// deadline passed.
	Cancelled int `json:"cancelled"`
	// Open is the number of open connections, Accepted that of all so far.
	Open     int `json:"open"`
	Accepted int `json:"accepted"`
}
