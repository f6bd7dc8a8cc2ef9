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
// share of it.
func (t *Table) hasColdRoom(now time.Time, s *endpointState) bool {
	_, sent := s.recent.count(now)
	return sent < t.coldShare(now, s)
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
	sentTimes := s.recent.coldTimes(now)
	if share == 0 || len(sentTimes) < share {
		return warmAt
	}
	roomAt := sentTimes[len(sentTimes)-share].Add(coldWindow)
	if roomAt.After(warmAt) {
		return warmAt
	}
	return roomAt
}
