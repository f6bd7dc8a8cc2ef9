package standin

import "savorystep"

// UpstreamStats counts the requests that an Upstream has begun to run.
type UpstreamStats struct {
	Total         int                               `json:"total"`
	Shed          int                               `json:"shed"`
	RunsByRequest map[savorystep.RequestID]int      `json:"requests"`
	RunsByKey     map[savorystep.IdempotencyKey]int `json:"keys"`
	// RunsAfterDrain counts requests that arrived while the endpoint drained, and
	// LateMillis is how long after the beginning of the drain the last one
	// arrived.
	RunsAfterDrain          int   `json:"late"`
	LastRunAfterDrainMillis int64 `json:"lateMillis"`
	// Cancelled counts runs that ended because the connection ended or the
	// deadline passed.
	Cancelled int `json:"cancelled"`
	// OpenConnections is the number of open connections, Accepted that of all so far.
	OpenConnections     int `json:"open"`
	AcceptedConnections int `json:"accepted"`
}
