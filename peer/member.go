package peer

import (
	"math"
	"time"

	"savorystep"
)

// A member is the known state of one instance of the fleet, which may be this
// instance itself.
type member struct {
	// status is the newest status, sequence the sequence of its fact.
	status   savorystep.StatusFact
	sequence uint64
	// hash is the position of the member in its bucket, see hashID.
	hash uint64
	// revision is the greatest revision known to be in force at the instance.
	revision savorystep.Revision
	// receivedAt is when the newest status arrived.
	receivedAt time.Time
}

// A suspicion records that other instances no longer receive frames from an
// instance.
type suspicion struct {
	// sequence is the sequence of the suspected status.
	sequence  uint64
	startedAt time.Time
	reporters []savorystep.InstanceID
}

// A tombstone marks an instance that was removed from the membership.
type tombstone struct {
	instance savorystep.Instance
	// sequence is the sequence of the last known status. Only a status with a
	// greater sequence adds the instance again.
	sequence  uint64
	expiresAt time.Time
}

// endedSequence is the sequence in the tombstone of an instance that the
// platform lists as ended. No status has a greater one, so the instance can't
// be added again while the tombstone exists.
const endedSequence = math.MaxUint64
