package upstream

import (
	"time"

	"savorystep"
)

// An Assessment is what the endpoints of a region show together.
type Assessment struct {
	// TrustLoadPages is false if all endpoints of the region claim to drain or
	// to be unhealthy while own requests succeed.
	TrustLoadPages bool
	// MostEndpointsDead is true if more than half of the endpoints look dead.
	MostEndpointsDead bool
}

// Assess compares the endpoints of a region. A region with a single endpoint
// gives no comparison, so its page is believed.
func Assess(healths []*Health, now time.Time) Assessment {
	claims, live, dead, succeeds := 0, 0, 0, false
	for _, h := range healths {
		if h.listedState != savorystep.StateLive {
			continue
		}
		live++
		if h.claimsDraining(now) || h.pageFresh(now) && !h.page.Healthy {
			claims++
		}
		if h.Ejected(now) || h.consecutiveFailures >= h.limits.ConsecutiveFailures {
			dead++
		}
		if h.recentSuccess(now) {
			succeeds = true
		}
	}
	return Assessment{
		TrustLoadPages:    live < 2 || claims < live || !succeeds,
		MostEndpointsDead: live >= 2 && 2*dead > live,
	}
}
