package peer

import (
	"sync"
	"time"

	"savorystep"
)

// MaxClockSkew is how far a peer's timestamp may be ahead of the local clock. A
// timestamp further ahead is ignored, so that one machine with a wrong clock
// cannot move the timestamps of all others into the future.
const MaxClockSkew = time.Minute

// An HLC is a hybrid logical clock. It is safe for concurrent use.
type HLC struct {
	clock savorystep.Clock

	mu   sync.Mutex
	last savorystep.Timestamp
}

// NewHLC returns a hybrid logical clock that is based on a physical clock.
func NewHLC(clock savorystep.Clock) *HLC {
	return &HLC{clock: clock}
}

// Now returns a timestamp greater than every timestamp returned or observed
// before.
func (h *HLC) Now() savorystep.Timestamp {
	wall := h.clock.Now().UnixNano()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.last = nextTimestamp(h.last, wall)
	return h.last
}

// Observe advances the clock beyond a timestamp received from a peer. It
// returns false and ignores the timestamp if it is more than MaxClockSkew
// ahead.
func (h *HLC) Observe(timestamp savorystep.Timestamp) bool {
	wall := h.clock.Now().UnixNano()
	if timestamp.Wall > wall+int64(MaxClockSkew) {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if CompareTimestamps(h.last, timestamp) < 0 {
		h.last = timestamp
	}
	return true
}

// nextTimestamp returns the least timestamp after last whose wall time is at
// least wall, in nanoseconds since the Unix epoch.
func nextTimestamp(last savorystep.Timestamp, wall int64) savorystep.Timestamp {
	if wall > last.Wall {
		return savorystep.Timestamp{Wall: wall}
	}
	if last.Logical == ^uint32(0) {
		return savorystep.Timestamp{Wall: last.Wall + 1}
	}
	return savorystep.Timestamp{Wall: last.Wall, Logical: last.Logical + 1}
}

// CompareTimestamps returns -1 if a is before b, 0 if they are equal, and 1 if
// a is after b.
func CompareTimestamps(a, b savorystep.Timestamp) int {
	switch {
	case a.Wall < b.Wall:
		return -1
	case a.Wall > b.Wall:
		return 1
	case a.Logical < b.Logical:
		return -1
	case a.Logical > b.Logical:
		return 1
	}
	return 0
}
