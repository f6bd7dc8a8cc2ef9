package peer

import (
	"math"
	"time"

	"savorystep"
)

// A member is what the store knows about one instance.
type member struct {
	status   savorystep.StatusFact
	sequence uint64
	hash     uint64
	// revision is the greatest revision known to be in force there.
	revision savorystep.Revision
	// heard is when a frame came over a connection to it, or when its newest
	// status came through others.
	heard time.Time
}

// A suspicion is the state of an instance that others no longer hear.
type suspicion struct {
	sequence uint64
	since    time.Time
	by       []savorystep.InstanceID
}

// A tombstone remembers a forgotten instance.
type tombstone struct {
	instance savorystep.Instance
	// sequence is that of the last known status. Only a greater one brings the
	// instance back.
	sequence uint64
	until    time.Time
}

// endedSequence is the sequence of the tombstone of an instance that the platform
// lists as ended.
const endedSequence = math.MaxUint64
