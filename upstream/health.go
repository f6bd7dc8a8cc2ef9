package upstream

import (
	"math"
	"time"

	"savorystep"
)

// driftGain is the weight of one load page in the correction of the counts in
// flight. Pages lag by more than requests last, so that a single page says
// little; over ten of them a lasting difference shows.
const undercountGain = 0.1

// A Health is the state of one endpoint as this instance sees it. It is pure:
// it gets the time and never reads a clock.
type Health struct {
	limits HealthLimits

	consecutiveFailures int
	ejections           int
	ejectedUntil        time.Time
	slowStartAt         time.Time
	lastSuccess         time.Time
	lastFailure         time.Time

	consecutiveSheds int
	pausedUntil      time.Time

	listedState    savorystep.State
	peerDrainingAt time.Time
	page           LoadPage
	pageReadAt     time.Time
	undercount     float64
}

// NewHealth returns the health of an endpoint that is live and has had no
// request.
func NewHealth(limits HealthLimits) *Health {
	return &Health{limits: limits.withDefaults(), listedState: savorystep.StateLive}
}

// BeginSlowStart begins a slow start, for an endpoint that is new and may be cold.
func (h *Health) BeginSlowStart(now time.Time) {
	h.slowStartAt = now
}

// RecordSuccess takes note of a whole answer.
func (h *Health) RecordSuccess(now time.Time) {
	h.consecutiveFailures = 0
	h.consecutiveSheds = 0
	h.lastSuccess = now
	if h.ejections > 0 && !h.slowStartAt.IsZero() && now.Sub(h.slowStartAt) >= h.limits.SlowStartWindow {
		h.ejections = 0
	}
}

// RecordNotListening takes note that nothing listens at the endpoint's address, so that the
// next failure ejects it.
func (h *Health) RecordNotListening() {
	h.consecutiveFailures = max(h.consecutiveFailures, h.limits.ConsecutiveFailures-1)
}

// RecordFailure takes note of a failure of the endpoint or the connection to it. It
// reports whether the endpoint was ejected. With mayEject false, failures are
// counted but do not eject.
func (h *Health) RecordFailure(now time.Time, mayEject bool) bool {
	h.consecutiveFailures++
	h.lastFailure = now
	// After an ejection a single failure ejects again, as nothing has yet
	// shown that the endpoint recovered.
	needed := h.limits.ConsecutiveFailures
	if h.ejections > 0 && !h.lastSuccess.After(h.ejectedUntil) {
		needed = 1
	}
	if h.consecutiveFailures < needed || !mayEject || h.Ejected(now) {
		return false
	}
	length := h.limits.MaxEjectionTime
	if h.ejections < 16 {
		length = min(length, h.limits.BaseEjectionTime<<h.ejections)
	}
	h.ejections++
	h.ejectedUntil = now.Add(length)
	h.slowStartAt = h.ejectedUntil
	return true
}

// RecordShed takes note of a request that the endpoint shed. Shedding is not a
// failure: it pauses new work for a short time.
func (h *Health) RecordShed(now time.Time) {
	pause := min(h.limits.MaxShedPause, h.limits.BaseShedPause<<min(h.consecutiveSheds, 10))
	h.consecutiveSheds++
	h.pausedUntil = now.Add(pause)
}

// SetListedState takes note of the state in the platform's list.
func (h *Health) SetListedState(state savorystep.State) {
	h.listedState = state
}

// RecordPeerDraining takes note that a peer says the endpoint drains.
func (h *Health) RecordPeerDraining(now time.Time) {
	h.peerDrainingAt = now
}

// RecordLoadPage takes note of a load page and the slots that this instance and its
// peers counted in use when it was read.
func (h *Health) RecordLoadPage(now time.Time, page LoadPage, counted savorystep.Slots) {
	h.page = page
	h.pageReadAt = now
	h.undercount += undercountGain * (float64(page.Busy-counted) - h.undercount)
}

// Ejected reports whether the endpoint is ejected.
func (h *Health) Ejected(now time.Time) bool {
	return now.Before(h.ejectedUntil)
}

// Draining reports whether the endpoint drains. The list is always believed,
// page and peers only if believePages is true.
func (h *Health) Draining(now time.Time, believePages bool) bool {
	return h.listedState != savorystep.StateLive || believePages && h.claimsDraining(now)
}

// claimsDraining reports whether the page or a peer says that the endpoint
// drains.
func (h *Health) claimsDraining(now time.Time) bool {
	return h.pageFresh(now) && h.page.Draining || h.peerClaim(now)
}

// peerClaim reports whether a peer said lately that the endpoint drains and no
// newer page of the endpoint denies it.
func (h *Health) peerClaim(now time.Time) bool {
	if h.peerDrainingAt.IsZero() || now.Sub(h.peerDrainingAt) > h.limits.MaxPeerDrainAge {
		return false
	}
	return h.page.Draining || !h.pageReadAt.After(h.peerDrainingAt)
}

// claimsUnhealthy reports whether the page says that the endpoint is not
// healthy and no recent success speaks against it.
func (h *Health) claimsUnhealthy(now time.Time) bool {
	return h.pageFresh(now) && !h.page.Healthy && !h.recentSuccess(now)
}

// pageFresh reports whether the page is recent enough to hold.
func (h *Health) pageFresh(now time.Time) bool {
	return !h.pageReadAt.IsZero() && now.Sub(h.pageReadAt) <= h.limits.MaxLoadPageAge
}

// recentSuccess reports whether the last own outcome is a recent success.
func (h *Health) recentSuccess(now time.Time) bool {
	return !h.lastSuccess.IsZero() && h.lastSuccess.After(h.lastFailure) && now.Sub(h.lastSuccess) <= h.limits.MaxSuccessAge
}

// Usable reports whether the endpoint takes new requests at all.
func (h *Health) Usable(now time.Time, believePages bool) bool {
	if h.Ejected(now) || h.Draining(now, believePages) {
		return false
	}
	return !believePages || !h.claimsUnhealthy(now)
}

// Paused reports whether the endpoint shed a request a moment ago.
func (h *Health) Paused(now time.Time) bool {
	return now.Before(h.pausedUntil)
}

// Capacity returns how many requests the endpoint takes at once: its slots,
// fewer during slow start, at least 1.
func (h *Health) Capacity(now time.Time, slots savorystep.Slots) savorystep.Slots {
	if h.slowStartAt.IsZero() || now.Before(h.slowStartAt) {
		return slots
	}
	part := float64(now.Sub(h.slowStartAt)) / float64(h.limits.SlowStartWindow)
	if part >= 1 {
		return slots
	}
	return max(1, savorystep.Slots(part*float64(slots)))
}

// Undercount returns by how many slots the endpoint is fuller than the counts say.
// It is never negative, so that a page cannot make an endpoint look emptier
// than own counts, and leaves one slot, so that a page cannot close one.
func (h *Health) Undercount(now time.Time, slots savorystep.Slots) savorystep.Slots {
	if !h.pageFresh(now) {
		return 0
	}
	return min(max(0, savorystep.Slots(math.Round(h.undercount))), max(0, slots-1))
}
