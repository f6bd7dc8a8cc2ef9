package peer

import (
	"math"
	"time"

	"savorystep"
)

// factSuspicion is a kind of fact that only this package uses. Its subject is
// the ID of an instance from which the publisher no longer receives frames, its
// body a suspicionFact. The kinds of package savorystep count from 1, so they
// don't collide with it.
const factSuspicion savorystep.FactKind = 200

// A suspicionFact reports that the publisher no longer receives frames from an
// instance.
type suspicionFact struct {
	// Sequence is the sequence of the instance's newest known status. A status
	// with a greater sequence refutes the suspicion.
	Sequence uint64 `cbor:"1,keyasint"`
}

// Limits and retention times of facts.
const (
	// lostRetention is how long the facts of a lost instance are kept, and
	// those of an instance that is not a member.
	lostRetention = 10 * time.Second
	// tombstoneRetention is how long a tombstone is kept, so that an old status
	// does not add the instance again. After this time no other connected
	// instance has the old status either.
	tombstoneRetention = 10 * time.Minute
	// maxTombstones limits the tombstones. The number of instances that are
	// replaced within tombstoneRetention is far lower, even if a whole zone is
	// lost.
	maxTombstones = 4096
	// crashRetention, drainingRetention and leavingRetention are the maximum ages of
	// these facts.
	crashRetention    = 10 * time.Minute
	leavingRetention  = 10 * time.Minute
	drainingRetention = 10 * time.Minute
	// rateLimitRetention is the maximum age of statements about rate limits. It is
	// twice the interval in which instances publish them again.
	rateLimitRetention = 30 * time.Second
	// endedRetention is the maximum age of reports that endpoints have ended, which is how
	// long instances use them.
	endedRetention = 30 * time.Second
	// endingBurstBytes and endingBytesPerSecond are a budget of sent bytes besides the byte
	// budget, for reports that endpoints have ended. An instance sends about 800 bytes for
	// each ending. All 777 endpoints of the largest deployment in use may end at once, and
	// again in each warm-up of 3 s.
	endingBurstBytes     = 620_000
	endingBytesPerSecond = 200_000
	// endingForwardInterval is the time in which further reports of the same ending are not
	// forwarded. Instances repeat a report after that time at the earliest.
	endingForwardInterval = time.Second
	// unknownRetention is the maximum age of the count of an unknown name.
	unknownRetention = time.Hour
	// neutralRetention is the maximum age of scoped facts that have the same
	// effect as no fact, such as a count of zero requests in flight. Without
	// it, facts about removed endpoints would be kept forever.
	neutralRetention = time.Minute
	// maxUnknownNames limits the counts of unknown names of all instances
	// together, maxUnknownNamesPerInstance those of one instance. The names
	// come from callers, which could otherwise fill the memory.
	maxUnknownNames            = 4096
	maxUnknownNamesPerInstance = 128
	// maxSubjectsPerKind limits the facts of one instance and kind. An instance
	// uses a few hundred endpoints.
	maxSubjectsPerKind = 4096
	// maxSuspicionReporters is the number of instances that report the same
	// suspicion. More reports would only cost bytes.
	maxSuspicionReporters = 3
)

// maxFactAge returns the age up to which a fact of a kind is kept. Zero means
// that it is kept as long as its instance is a member.
func maxFactAge(kind savorystep.FactKind) time.Duration {
	switch kind {
	case savorystep.FactDraining:
		return drainingRetention
	case savorystep.FactLeaving:
		return leavingRetention
	case savorystep.FactEnded, savorystep.FactSilent:
		return endedRetention
	case savorystep.FactCrash:
		return crashRetention
	case savorystep.FactRateLimit:
		return rateLimitRetention
	case savorystep.FactUnknown:
		return unknownRetention
	case factSuspicion:
		return tombstoneRetention
	default:
		return 0
	}
}

// isScoped reports whether facts of a kind are relevant only for the instances
// that use the same endpoints. They are not gossiped to all instances.
func isScoped(kind savorystep.FactKind) bool {
	return kind == savorystep.FactInFlight || kind == savorystep.FactHealth
}

// isEnding reports whether facts of a kind say that an endpoint has or may have ended.
func isEnding(kind savorystep.FactKind) bool {
	return kind == savorystep.FactEnded || kind == savorystep.FactSilent
}

// maxForwardedEndings returns the number of reports about the same endpoint that are
// forwarded in endingForwardInterval. Instances act on the first report that it has ended,
// and on the second one that it is silent.
func maxForwardedEndings(kind savorystep.FactKind) int {
	if kind == savorystep.FactSilent {
		return 2
	}
	return 1
}

// urgencyOf returns the order in which facts are sent, those with the greatest urgency
// first. An endpoint that has ended may run again within a second, by when all instances
// have to know it.
func urgencyOf(kind savorystep.FactKind) int {
	switch {
	case isEnding(kind):
		return 2
	case isUrgent(kind):
		return 1
	default:
		return 0
	}
}

// isUrgent reports whether facts of a kind are sent immediately instead of in
// the next gossip round.
func isUrgent(kind savorystep.FactKind) bool {
	switch kind {
	case savorystep.FactDraining, savorystep.FactStatus, savorystep.FactCrash, savorystep.FactRateLimit, savorystep.FactLeaving, savorystep.FactEnded, savorystep.FactSilent, factSuspicion:
		return true
	default:
		return false
	}
}

// refutationTimeout returns the time that a suspected instance has to refute
// the suspicion. Within this time the suspicion has to reach the instance, and
// its new status all others. Both paths grow with the logarithm of the number
// of instances.
func refutationTimeout(instances int) time.Duration {
	const (
		base          = 500 * time.Millisecond
		perDoubling   = 200 * time.Millisecond
		baseInstances = 16
	)
	if instances <= baseInstances {
		return base
	}
	return base + time.Duration(float64(perDoubling)*math.Log2(float64(instances)/baseInstances))
}
