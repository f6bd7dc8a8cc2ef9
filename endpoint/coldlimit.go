package endpoint

import (
	"slices"
	"time"
)

const (
	// coldWindow is the window in which an instance counts its requests to a cold
	// endpoint: the second for which the limit holds, plus the differences between
	// the network delays of the instances.
	coldWindow = 1300 * time.Millisecond
	// coldUtilization is the fraction of the limit that is used. The remainder
	// covers instances that do not know each other yet.
	coldUtilization = 0.75
)

// hasColdRoom reports whether this instance may send a request to a cold
// endpoint now. The limit applies to all instances together, so each uses its own
// share of it.
func (t *Table) hasColdRoom(now time.Time, s *endpointState) bool {
	limit := t.specs[s.Service].ColdRate*t.config.ColdFactor + t.config.ColdSlack
	s.coldRequestTimes = slices.DeleteFunc(s.coldRequestTimes, func(at time.Time) bool { return now.Sub(at) >= coldWindow })
	return len(s.coldRequestTimes) < t.instanceShare(now, int(limit*coldUtilization), s)
}
