package upstream

import (
	"math"
	"time"

	"savorystep"
)

// undercountGain is the weight of one load page in the moving average of the
// undercount. A load page lags by more than the duration of a request, so a
// single one is unreliable; a lasting difference shows over about ten.
const undercountGain = 0.1

// A Health is the health of one endpoint as seen by this instance. Its methods
// take the current time; it reads no clock.
type Health struct {
	limits HealthLimits

	consecutiveFailures int
	// ejections counts the ejections since the ejection time was last reset. It
	// determines the duration of the next one.
	ejections    int
	ejectedUntil time.Time
	// slowStartAt is when the slow start begins: when the endpoint was added, or
	// at the end of the last ejection, which may be in the future. It is zero
	// without a slow start.
	slowStartAt time.Time
	lastSuccess time.Time
	lastFailure time.Time

	consecutiveSheds int
	pausedUntil      time.Time

	listedState    savorystep.State
	peerDrainingAt time.Time
	loadPage       LoadPage
	loadPageReadAt time.Time
	// undercount is the moving average of the busy slots on the load pages minus
	// the counted requests in flight.
	undercount float64
}

// NewHealth returns the health of a live endpoint that has had no request.
func NewHealth(limits HealthLimits) *Health {
	return &Health{limits: limits.withDefaults(), listedState: savorystep.StateLive}
}

// BeginSlowStart starts a slow start for a new endpoint, whose caches may be
// cold.
func (h *Health) BeginSlowStart(now time.Time) {
	h.slowStartAt = now
}

// RecordSuccess records a complete response. A success after the slow-start
// window resets the ejection time to its base.
func (h *Health) RecordSuccess(now time.Time) {
	h.consecutiveFailures = 0
	h.consecutiveSheds = 0
	h.lastSuccess = now
	if h.ejections > 0 && !h.slowStartAt.IsZero() && now.Sub(h.slowStartAt) >= h.limits.SlowStartWindow {
		h.ejections = 0
	}
}

// RecordNotListening records that nothing listens at the endpoint's address, so
// that the next failure ejects it.
func (h *Health) RecordNotListening() {
	h.consecutiveFailures = max(h.consecutiveFailures, h.limits.ConsecutiveFailures-1)
}

// RecordFailure records a failure of the endpoint or of the connection to it
// and reports whether this ejected the endpoint. If mayEject is false, the
// failure is only counted.
func (h *Health) RecordFailure(now time.Time, mayEject bool) bool {
	h.consecutiveFailures++
	h.lastFailure = now
	// A single failure ejects the endpoint again until a success after the last
	// ejection has shown that it recovered.
	threshold := h.limits.ConsecutiveFailures
	if h.ejections > 0 && !h.lastSuccess.After(h.ejectedUntil) {
		threshold = 1
	}
	if h.consecutiveFailures < threshold || !mayEject || h.Ejected(now) {
		return false
	}
	duration := h.limits.MaxEjectionTime
	if h.ejections < 16 {
		duration = min(duration, h.limits.BaseEjectionTime<<h.ejections)
	}
	h.ejections++
	h.ejectedUntil = now.Add(duration)
	h.slowStartAt = h.ejectedUntil
	return true
}

// RecordShed records that the endpoint shed a request. This is not a failure;
// the endpoint gets no new requests for a short pause.
func (h *Health) RecordShed(now time.Time) {
	pause := min(h.limits.MaxShedPause, h.limits.BaseShedPause<<min(h.consecutiveSheds, 10))
	h.consecutiveSheds++
	h.pausedUntil = now.Add(pause)
}

// SetListedState sets the endpoint's state in the platform's list.
func (h *Health) SetListedState(state savorystep.State) {
	h.listedState = state
}

// RecordPeerDraining records a peer's report that the endpoint is draining.
func (h *Health) RecordPeerDraining(now time.Time) {
	h.peerDrainingAt = now
}

// RecordLoadPage records a load page and the requests of this instance and its
// peers that were in flight when it was read.
func (h *Health) RecordLoadPage(now time.Time, page LoadPage, inFlight savorystep.Slots) {
	h.loadPage = page
	h.loadPageReadAt = now
	h.undercount += undercountGain * (float64(page.Busy-inFlight) - h.undercount)
}

// Ejected reports whether the endpoint is ejected at the given time.
func (h *Health) Ejected(now time.Time) bool {
	return now.Before(h.ejectedUntil)
}

// Draining reports whether the endpoint is draining. The platform's list is
// always trusted, load pages and reports of peers only if trustLoadPages is
// true.
func (h *Health) Draining(now time.Time, trustLoadPages bool) bool {
	return h.listedState != savorystep.StateLive || trustLoadPages && h.claimsDraining(now)
}

// claimsDraining reports whether the load page or a peer states that the
// endpoint is draining.
func (h *Health) claimsDraining(now time.Time) bool {
	return h.loadPageFresh(now) && h.loadPage.Draining || h.peerClaimsDraining(now)
}

// peerClaimsDraining reports whether a peer recently stated that the endpoint
// is draining and no later load page contradicts it.
func (h *Health) peerClaimsDraining(now time.Time) bool {
	if h.peerDrainingAt.IsZero() || now.Sub(h.peerDrainingAt) > h.limits.MaxPeerDrainAge {
		return false
	}
	return h.loadPage.Draining || !h.loadPageReadAt.After(h.peerDrainingAt)
}

// claimsUnhealthy reports whether the load page states that the endpoint is
// unhealthy and no recent success contradicts it.
func (h *Health) claimsUnhealthy(now time.Time) bool {
	return h.loadPageFresh(now) && !h.loadPage.Healthy && !h.recentlySucceeded(now)
}

// loadPageFresh reports whether the last load page is recent enough to be used.
func (h *Health) loadPageFresh(now time.Time) bool {
	return !h.loadPageReadAt.IsZero() && now.Sub(h.loadPageReadAt) <= h.limits.MaxLoadPageAge
}

// recentlySucceeded reports whether this instance's last request with an
// outcome succeeded, within MaxSuccessAge.
func (h *Health) recentlySucceeded(now time.Time) bool {
	return !h.lastSuccess.IsZero() && h.lastSuccess.After(h.lastFailure) && now.Sub(h.lastSuccess) <= h.limits.MaxSuccessAge
}

// Usable reports whether the endpoint may get new requests: it is neither
// ejected nor draining nor, according to a trusted load page, unhealthy.
func (h *Health) Usable(now time.Time, trustLoadPages bool) bool {
	if h.Ejected(now) || h.Draining(now, trustLoadPages) {
		return false
	}
	return !trustLoadPages || !h.claimsUnhealthy(now)
}

// Paused reports whether the endpoint is in the pause after a shed request.
func (h *Health) Paused(now time.Time) bool {
	return now.Before(h.pausedUntil)
}

// Capacity returns the number of requests that the endpoint may run
// concurrently: its slots, or a growing part of them during slow start, at
// least 1.
func (h *Health) Capacity(now time.Time, slots savorystep.Slots) savorystep.Slots {
	if h.slowStartAt.IsZero() || now.Before(h.slowStartAt) {
		return slots
	}
	fraction := float64(now.Sub(h.slowStartAt)) / float64(h.limits.SlowStartWindow)
	if fraction >= 1 {
		return slots
	}
	return max(1, savorystep.Slots(fraction*float64(slots)))
}

// Undercount returns the number of busy slots that the counts of requests in
// flight miss, according to the load pages. It is never negative, so that a
// load page cannot make an endpoint look less busy than the counts, and at most
// slots-1, so that a load page alone cannot stop traffic to an endpoint.
func (h *Health) Undercount(now time.Time, slots savorystep.Slots) savorystep.Slots {
	if !h.loadPageFresh(now) {
		return 0
	}
	return min(max(0, savorystep.Slots(math.Round(h.undercount))), max(0, slots-1))
}
