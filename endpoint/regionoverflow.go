package endpoint

import (
	"time"

	"savorystep"
)

const (
	// shiftWindow is the span of time for which the change of a region's share is limited.
	shiftWindow = 2 * time.Second
	// overflowHistory is the span of time of which the end is the current shiftWindow. What
	// is before that tells the usual overflow, also at an instance that gets one request in a
	// second.
	overflowHistory = 5 * shiftWindow
	// minOverflowHistory is how long after its first request an instance knows the usual
	// overflow.
	minOverflowHistory = shiftWindow / 2
	// maxOverflowGrowth limits by how much the fraction of the requests that leave their
	// region in a shiftWindow may exceed the usual one. The bound is 0.15 for all instances
	// together, of which the remainder covers that they get requests of changing shares.
	maxOverflowGrowth = 0.1
)

// A serviceRegion is a region of a service.
type serviceRegion struct {
	service savorystep.Service
	region  savorystep.Region
}

// A regionOverflow counts the requests of a service that prefer local endpoints, by
// whether they were sent to the region of this instance.
type regionOverflow struct {
	// startedAt is the time of the first request.
	startedAt time.Time
	// lostAt is when endpoints of the region were last seen to get no requests for another
	// reason than lack of room.
	lostAt       time.Time
	local, other windowCounter
}

func newRegionOverflow() *regionOverflow {
	return &regionOverflow{local: newWindowCounter(overflowHistory), other: newWindowCounter(overflowHistory)}
}

// add counts a request that is sent to a region, and returns the counter that has it.
func (o *regionOverflow) add(now time.Time, query *Query, region savorystep.Region) *windowCounter {
	if o.startedAt.IsZero() {
		o.startedAt = now
	}
	counter := &o.other
	if region == query.Local.Region {
		counter = &o.local
	}
	counter.add(now)
	return counter
}

// hasRoom reports whether one more request may leave the region. The first one in a
// shiftWindow may, and all may while the usual overflow is not known.
func (o *regionOverflow) hasRoom(now time.Time) bool {
	if o.startedAt.IsZero() || now.Sub(o.startedAt) < minOverflowHistory {
		return true
	}
	local, other := o.local.sumSince(now, shiftWindow), o.other.sumSince(now, shiftWindow)
	if other == 0 {
		return true
	}
	localBefore, otherBefore := o.local.sum(now)-local, o.other.sum(now)-other
	limit := maxOverflowGrowth
	if otherBefore > 0 {
		limit += float64(otherBefore) / float64(localBefore+otherBefore)
	}
	return float64(other+1) <= limit*float64(local+other+1)
}

// limitOverflow decides whether a request that prefers local endpoints may leave the
// region because other regions have more room or would respond sooner. Each instance
// limits its own requests, so that the limit holds for those of a region together. It does
// not hold while endpoints of the region can't be used, since their requests must move at
// once, nor until what overflows without them is the usual overflow.
func (t *Table) limitOverflow(now time.Time, query *Query) {
	if !query.mayStayInRegion() {
		return
	}
	o := t.overflow(query.Service)
	if o.hasRoom(now) {
		return
	}
	hasLocal := false
	if at := t.removedAt[serviceRegion{query.Service, query.Local.Region}]; at.After(o.lostAt) {
		o.lostAt = at
	}
	for _, s := range t.byService[query.Service] {
		if s.Place.Region != query.Local.Region {
			continue
		}
		hasLocal = true
		if t.isLost(now, s) {
			o.lostAt = now
		}
	}
	query.staysInRegion = hasLocal && (o.lostAt.IsZero() || now.Sub(o.lostAt) >= overflowHistory)
}

// isLost reports whether an endpoint gets no requests for another reason than lack of
// room.
func (t *Table) isLost(now time.Time, s *endpointState) bool {
	return t.checkAvailability(now, s, &Query{}) != ExclusionNone || t.isCold(now, s) ||
		(s.isInBackoff(now) && !s.isBackoffForRoom)
}

// overflow returns the region overflow of a service.
func (t *Table) overflow(service savorystep.Service) *regionOverflow {
	o := t.overflows[service]
	if o == nil {
		o = newRegionOverflow()
		t.overflows[service] = o
	}
	return o
}
