package endpoint

import (
	"time"
)

const (
	// maxSpillover is the number of requests that may spill over to endpoints without
	// a rate limit, relative to their own requests. Without this bound, endpoints that
	// are about to state a limit get what all others turn away: one of 14 got 41
	// requests in 0.4 s in the model.
	maxSpillover = 1.0
	// maxSpilloverCredit is the largest number of requests that may spill over in a
	// row after a time in which none did.
	maxSpilloverCredit = 2
)

// limitSpillover decides whether a request may go to an endpoint without a rate limit
// if the endpoint that ranks first for it has no room, because of its rate limit or
// because it wants no requests from this instance. It may as long as these requests do
// not exceed maxSpillover. The decision depends only on which endpoints are limited,
// which all instances know, and on which have stated to this instance that they want
// no requests, so that it holds for the requests of all instances together.
func (t *Table) limitSpillover(now time.Time, query *Query) {
	var first rankedEndpoint
	firstProximity, full, unlimited := -1, 0, 0
	for _, s := range t.byService[query.Service] {
		if t.checkAvailability(now, s, query) != ExclusionNone {
			continue
		}
		switch {
		case t.checkRoom(now, s) != ExclusionNone:
			full++
		case !s.rateLimiter.isLimited(now):
			unlimited++
		}
		r, proximity := newRankedEndpoint(s, query), query.proximity(s.Place)
		if proximity > firstProximity || (proximity == firstProximity && r.score > first.score) {
			first, firstProximity = r, proximity
		}
	}
	if first.state == nil || t.checkRoom(now, first.state) == ExclusionNone {
		return
	}
	credit := min(t.spilloverCredits[query.Service]+maxSpillover*float64(unlimited)/float64(full), maxSpilloverCredit)
	if credit < 1 {
		query.excludesUnlimited = true
	} else {
		credit--
	}
	t.spilloverCredits[query.Service] = credit
}
