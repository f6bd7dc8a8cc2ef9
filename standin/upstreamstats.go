package standin

import "savorystep"

// UpstreamStats counts the requests and connections of an Upstream.
type UpstreamStats struct {
	// Total counts the requests that started to run, Shed those that were
	// rejected.
	Total int `json:"total"`
	Shed  int `json:"shed"`
	// RunsByRequest and RunsByKey count the requests that started to run by
	// request ID and by idempotency key.
	RunsByRequest map[savorystep.RequestID]int      `json:"requests"`
	RunsByKey     map[savorystep.IdempotencyKey]int `json:"keys"`
	// RunsAfterDrain counts the requests that started to run while the endpoint
	// was draining. LastRunAfterDrainMillis is the time from the start of the
	// drain to the last of them, in milliseconds.
	RunsAfterDrain          int   `json:"late"`
	LastRunAfterDrainMillis int64 `json:"lateMillis"`
	// Cancelled counts the runs that ended early because the connection was
	// closed or the deadline passed.
	Cancelled int `json:"cancelled"`
	// OpenConnections is the number of open connections, AcceptedConnections the
	// number of those accepted so far.
	OpenConnections     int `json:"open"`
	AcceptedConnections int `json:"accepted"`
}
