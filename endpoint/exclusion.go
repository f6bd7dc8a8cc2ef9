package endpoint

// An Exclusion is a reason why an endpoint may not get a request now. The zero value
// means that it may.
type Exclusion uint8

// The reasons, in the order in which they are checked. An endpoint for which several
// hold is excluded for the first.
const (
	ExclusionNone Exclusion = iota
	// ExclusionListed means that the endpoint list does not have it as live.
	ExclusionListed
	// ExclusionLeaving means that it has said in a response that it leaves.
	ExclusionLeaving
	// ExclusionExpired means that it was not listed again before its expiry.
	ExclusionExpired
	// ExclusionEvacuated means that its zone is evacuated.
	ExclusionEvacuated
	// ExclusionAttempted means that the request was already sent to it.
	ExclusionAttempted
	// ExclusionRegion means that the request may not run in its region.
	ExclusionRegion
	// ExclusionClosed means that it wants no requests from this instance for a stated
	// time.
	ExclusionClosed
	// ExclusionReturning means that requests return to it after such a time, and that as
	// many are in flight as its answers allow.
	ExclusionReturning
	// ExclusionRateLimit means that this instance has used its share of the stated rate
	// limit.
	ExclusionRateLimit
	// ExclusionSpillover means that it has room, but that it would get too many of the
	// requests that others turn away.
	ExclusionSpillover
	// ExclusionOverflow means that it is in another region, to which requests must not move
	// faster.
	ExclusionOverflow
	// ExclusionBackoff means that it failed or shed recent requests.
	ExclusionBackoff
	// ExclusionCold means that it is or may be cold. It gets a request only if no other
	// endpoint can.
	ExclusionCold
	// ExclusionColdLimit means that it is cold, and that this instance has used its share
	// of the requests that a cold endpoint may get.
	ExclusionColdLimit
	// ExclusionLoad means that it has as many requests as it may queue.
	ExclusionLoad
	// exclusionCount is the number of exclusions.
	exclusionCount
)

// String returns the name of the exclusion in logs, metrics and the status.
func (e Exclusion) String() string {
	names := [exclusionCount]string{
		ExclusionNone: "none", ExclusionListed: "listed", ExclusionLeaving: "leaving", ExclusionExpired: "expired",
		ExclusionEvacuated: "evacuated", ExclusionAttempted: "attempted", ExclusionRegion: "region", ExclusionClosed: "closed",
		ExclusionReturning: "returning", ExclusionRateLimit: "limited", ExclusionSpillover: "spillover", ExclusionOverflow: "overflow", ExclusionBackoff: "backoff",
		ExclusionCold: "cold", ExclusionColdLimit: "coldlimit", ExclusionLoad: "load",
	}
	if e >= exclusionCount {
		return "unknown"
	}
	return names[e]
}

// IsOfRequest reports whether the exclusion depends on the request and not only on the
// endpoint.
func (e Exclusion) IsOfRequest() bool {
	return e == ExclusionAttempted || e == ExclusionRegion || e == ExclusionSpillover || e == ExclusionOverflow
}

// Exclusions returns all reasons, without ExclusionNone.
func Exclusions() []Exclusion {
	var all []Exclusion
	for e := ExclusionNone + 1; e < exclusionCount; e++ {
		all = append(all, e)
	}
	return all
}
