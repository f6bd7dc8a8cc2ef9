package endpoint

import "time"

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
// share of it. Requests count whether the endpoint was known to be cold or not, since
// some of them may have reached it after its restart.
func (t *Table) hasColdRoom(now time.Time, s *endpointState) bool {
	s.recent.evict(now)
	return len(s.recent) < t.coldShare(now, s)
}

// coldShare returns the number of requests that this instance may send to a cold
// endpoint in coldWindow.
func (t *Table) coldShare(now time.Time, s *endpointState) int {
	limit := t.specs[s.Service].ColdRate*t.config.ColdFactor + t.config.ColdSlack
	return t.instanceShare(now, int(limit*coldUtilization), s)
}

// coldRoomAt returns when a cold endpoint without room has room again or is no longer
// cold, whichever is earlier.
func (t *Table) coldRoomAt(now time.Time, s *endpointState) time.Time {
	warmAt, share := t.coldUntil(now, s), t.coldShare(now, s)
	s.recent.evict(now)
	if share == 0 || len(s.recent) < share {
		return warmAt
	}
	roomAt := s.recent[len(s.recent)-share].sentAt.Add(coldWindow)
	if roomAt.After(warmAt) {
		return warmAt
	}
	return roomAt
}
