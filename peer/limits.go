package peer

import (
	"math"
	"time"

	"savorystep"
)

// factSuspicion is a kind of fact that only this package uses. Its subject is
// an instance that the stating instance no longer hears, its body a
// suspicionFact. Root kinds count from 1, so they do not meet it.
const factSuspicion savorystep.FactKind = 200

// A suspicionFact says that an instance is no longer heard.
type suspicionFact struct {
	// Sequence is that of the instance's newest known status. A status with a
	// greater sequence refutes the suspicion.
	Sequence uint64 `cbor:"1,keyasint"`
}

// Limits and lifetimes of facts.
const (
	// forgetAfter is how long the facts of a left-out instance are kept.
	forgetAfter = 10 * time.Second
	// tombstoneLifetime is how long a forgotten instance is remembered, so that
	// its old status does not bring it back. After that time no other
	// connected instance holds the old status either.
	tombstoneLifetime = 10 * time.Minute
	// maxTombstones bounds the remembered instances. It exceeds the instances that
	// are replaced in a tombstoneLifetime by far, a lost zone included.
	maxTombstones = 4096
	// strikeLifetime and drainingLifetime are the lifetimes of those facts.
	strikeLifetime   = 10 * time.Minute
	drainingLifetime = 10 * time.Minute
	// unknownLifetime is the lifetime of a count of an unknown name.
	unknownLifetime = time.Hour
	// idleLifetime is the lifetime of scoped facts that say the same as none,
	// such as no requests in flight, so that endpoints that are gone leave
	// nothing behind.
	idleLifetime = time.Minute
	// maxUnknown bounds the unknown names kept of all instances, and
	// maxUnknownEach those of one instance. Callers choose these names, so
	// without a bound they could fill the memory.
	maxUnknown     = 4096
	maxUnknownEach = 128
	// maxSubjects bounds the facts kept of one instance and kind. An instance
	// talks to a few hundred endpoints.
	maxSubjects = 4096
	// maxSuspecters is how many instances state the same suspicion. Further
	// ones would only cost bytes.
	maxSuspecters = 3
)

// lifetime returns how long a fact of a kind is kept. Zero means as long as
// its instance is a member.
func lifetime(kind savorystep.FactKind) time.Duration {
	switch kind {
	case savorystep.FactDraining:
		return drainingLifetime
	case savorystep.FactCrash:
		return strikeLifetime
	case savorystep.FactUnknown:
		return unknownLifetime
	case factSuspicion:
		return tombstoneLifetime
	default:
		return 0
	}
}

// isScoped reports whether facts of a kind interest only the instances that
// use the same endpoints. They are not spread to all instances.
func isScoped(kind savorystep.FactKind) bool {
	return kind == savorystep.FactInFlight || kind == savorystep.FactHealth
}

// isUrgent reports whether facts of a kind are sent at once instead of with
// the next round.
func isUrgent(kind savorystep.FactKind) bool {
	switch kind {
	case savorystep.FactDraining, savorystep.FactStatus, savorystep.FactCrash, factSuspicion:
		return true
	default:
		return false
	}
}

// refuteWindow is the time that a suspected instance has to refute: the
// suspicion must reach it and its answer must reach everyone. The path to
// either grows with the logarithm of the number of instances.
func refuteWindow(instances int) time.Duration {
	const (
		base  = 500 * time.Millisecond
		step  = 200 * time.Millisecond
		small = 16
	)
	if instances <= small {
		return base
	}
	return base + time.Duration(float64(step)*math.Log2(float64(instances)/small))
}
