package endpoint

import (
	"slices"
	"time"

	"savorystep"
)

// An Admission says whether an endpoint may get a request now and, if not, why and
// until when.
type Admission struct {
	Exclusion Exclusion
	// Until is when the exclusion ends, zero if it ends with an event and not at a known
	// time.
	Until time.Time
}

// admission returns whether an endpoint may get a request. Reports about endpoints use
// it. Choose uses the checks that it combines, since endpoints that are not eligible are
// left out of a ranking, and those that are not ready are skipped in it.
func (t *Table) admission(now time.Time, s *endpointState, query *Query) Admission {
	e := t.checkEligibility(now, s, query)
	if e == ExclusionNone {
		e = t.checkReadiness(now, s)
	}
	switch {
	case e == ExclusionCold && !t.hasColdRoom(now, s):
		e = ExclusionColdLimit
	case e == ExclusionNone:
		e = s.checkLoad(now, maxLoadPerSlot)
	default:
	}
	return Admission{Exclusion: e, Until: t.exclusionEnd(now, s, e)}
}

// checkAvailability checks whether an endpoint may get a request, whatever it has room
// for.
func (t *Table) checkAvailability(now time.Time, s *endpointState, query *Query) Exclusion {
	switch {
	case s.State != savorystep.StateLive:
		return ExclusionListed
	case s.isLeaving:
		return ExclusionLeaving
	case s.isExpired(now):
		return ExclusionExpired
	case t.evacuatedZones[s.Place.Zone]:
		return ExclusionEvacuated
	case slices.Contains(query.AttemptedEndpoints, s.ID):
		return ExclusionAttempted
	case len(query.AllowedRegions) > 0 && !slices.Contains(query.AllowedRegions, s.Place.Region):
		return ExclusionRegion
	default:
		return ExclusionNone
	}
}

// checkRoom checks whether what an endpoint has stated to instances leaves room for a
// request of this one.
func (t *Table) checkRoom(now time.Time, s *endpointState) Exclusion {
	switch {
	case s.holdOff.isClosed(now):
		return ExclusionClosed
	case !s.holdOff.hasRoom():
		return ExclusionReturning
	case s.rateLimiter.isLimited(now) && !t.hasRateLimitRoom(now, s):
		return ExclusionRateLimit
	default:
		return ExclusionNone
	}
}

// checkEligibility checks whether an endpoint is part of the ranking for a request. The
// next one in the ranking replaces an endpoint that is not.
func (t *Table) checkEligibility(now time.Time, s *endpointState, query *Query) Exclusion {
	if e := t.checkAvailability(now, s, query); e != ExclusionNone {
		return e
	}
	if e := t.checkRoom(now, s); e != ExclusionNone {
		return e
	}
	if query.excludesUnlimited && !s.rateLimiter.isLimited(now) {
		return ExclusionSpillover
	}
	if query.staysInRegion && s.Place.Region != query.Local.Region {
		return ExclusionOverflow
	}
	return ExclusionNone
}

// checkReadiness checks whether an endpoint that is part of a ranking is skipped there.
func (t *Table) checkReadiness(now time.Time, s *endpointState) Exclusion {
	switch {
	case s.isInBackoff(now):
		return ExclusionBackoff
	case t.isCold(now, s):
		return ExclusionCold
	default:
		return ExclusionNone
	}
}

// checkLoad checks whether an endpoint has less than a load per slot.
func (s *endpointState) checkLoad(now time.Time, limit float64) Exclusion {
	if s.load(now) >= limit*float64(s.Slots) {
		return ExclusionLoad
	}
	return ExclusionNone
}

// exclusionEnd returns when an exclusion of an endpoint ends, zero if that is not known.
func (t *Table) exclusionEnd(now time.Time, s *endpointState, e Exclusion) time.Time {
	switch e {
	case ExclusionClosed:
		return s.holdOff.until
	case ExclusionRateLimit:
		return t.rateLimitRoomAt(now, s)
	case ExclusionBackoff:
		return s.backoffUntil
	case ExclusionCold:
		return t.coldUntil(now, s)
	case ExclusionColdLimit:
		return t.coldRoomAt(now, s)
	default:
		return time.Time{}
	}
}

// Recheck returns why the endpoint of a choice may no longer get the request, which was
// not sent yet. It considers only what has become known of the endpoint since the choice
// was made: what it has said, and that it has restarted. A request that is sent counts
// from now on for the cold limit.
func (t *Table) Recheck(now time.Time, choice Choice) Exclusion {
	if known, ok := t.leavings[choice.Endpoint.ID]; ok && known.startedAtMillis >= choice.Endpoint.StartedAtMillis {
		return ExclusionLeaving
	}
	if h := t.knownHoldOff(choice.Endpoint); h != nil && h.isClosed(now) {
		return ExclusionClosed
	}
	s := t.byID[choice.Endpoint.ID]
	if s == nil {
		return ExclusionNone
	}
	s.recent.remove(choice.number)
	isCold := t.isCold(now, s)
	if isCold && !t.hasColdRoom(now, s) {
		return ExclusionColdLimit
	}
	s.recent.add(now, choice.number, isCold)
	return ExclusionNone
}
