package upstream

import (
	"time"

	"savorystep"
)

// An Assessment is the result of comparing the endpoints of a region.
type Assessment struct {
	// TrustLoadPages is false if every endpoint of the region reports that it
	// is draining or unhealthy while this instance's requests succeed.
	TrustLoadPages bool
	// MostEndpointsDead is true if more than half of the endpoints are ejected
	// or have reached the failure threshold.
	MostEndpointsDead bool
}

// Assess compares the endpoints of a region. A single endpoint allows no
// comparison, so its load page is trusted.
func Assess(healths []*Health, now time.Time) Assessment {
	claimUnfit, live, dead, anySuccess := 0, 0, 0, false
	for _, h := range healths {
		if h.listedState != savorystep.StateLive {
			continue
		}
		live++
		if h.claimsDraining(now) || h.loadPageFresh(now) && !h.loadPage.Healthy {
			claimUnfit++
		}
		if h.Ejected(now) || h.consecutiveFailures >= h.limits.ConsecutiveFailures {
			dead++
		}
		if h.recentlySucceeded(now) {
			anySuccess = true
		}
	}
	return Assessment{
		TrustLoadPages:    live < 2 || claimUnfit < live || !anySuccess,
		MostEndpointsDead: live >= 2 && 2*dead > live,
	}
}
