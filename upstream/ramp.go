package upstream

import (
	"time"

	"savorystep"
)

// Defaults of RampConfig.
const (
	// DefaultRampGrowthRate is the growth per second as a fraction of the
	// destination's slots. At 5% an idle destination is full after 20 s, which
	// gives its caches time to warm up.
	DefaultRampGrowthRate = 0.05
	// DefaultRampMinAllowance is the allowance of an idle destination.
	DefaultRampMinAllowance = savorystep.Slots(2)
	// DefaultRampMaxSampleAge is the age from which a measurement is ignored.
	// It equals the time after which a member without a heartbeat is left out
	// of the membership.
	DefaultRampMaxSampleAge = 2 * time.Second
	// DefaultRampPeakWindow is how long traffic keeps a destination's caches
	// warm.
	DefaultRampPeakWindow = 30 * time.Second
)

// A RampConfig configures a Ramp. Zero values select the defaults.
type RampConfig struct {
	// GrowthRate is the growth per second as a fraction of the destination's
	// slots.
	GrowthRate float64
	// MinAllowance is the minimum allowance, summed over all instances.
	MinAllowance savorystep.Slots
	// MaxSampleAge is the age from which a measurement no longer permits
	// growth.
	MaxSampleAge time.Duration
	// PeakWindow is the window over which peak use is tracked. A peak counts
	// for one to two windows.
	PeakWindow time.Duration
}

// A RampSample is a measurement of a service in a region.
type RampSample struct {
	// MeasuredAt is the time for which the counts are valid.
	MeasuredAt time.Time
	// Slots is the number of usable slots of the destination.
	Slots savorystep.Slots
	// Used is the number of slots in use by all instances, OwnUsed the number
	// in use by this instance.
	Used, OwnUsed savorystep.Slots
	// Senders is the number of instances that send to the destination,
	// including this one. Each may use an equal part of the growth, because an
	// instance sees the growth caused by the others only with its next
	// measurement.
	Senders int
}

// A Ramp limits how fast the number of requests in flight of a service into a
// region grows, because a destination without traffic has cold caches.
//
// The allowance grows by a fraction of the destination's slots per second and
// exceeds the recent peak use by at most one second's growth: a destination
// that was idle for an hour is as cold as one that was idle for a minute. While
// no fresh measurement is available, the allowance does not grow and the peak
// window does not advance.
//
// A Ramp reads no clock and is not safe for concurrent use.
type Ramp struct {
	config RampConfig
	sample RampSample
	// allowance is the permitted number of requests in flight at updatedAt.
	allowance float64
	updatedAt time.Time
	// windowPeak and previousPeak are the peak use in the current and the
	// previous window. windowElapsed is how much of the current window has
	// passed, counting only time with a fresh measurement.
	windowPeak, previousPeak savorystep.Slots
	windowElapsed            time.Duration
}

// NewRamp returns a ramp for a destination without recent traffic.
func NewRamp(config RampConfig) *Ramp {
	if config.GrowthRate == 0 {
		config.GrowthRate = DefaultRampGrowthRate
	}
	if config.MinAllowance == 0 {
		config.MinAllowance = DefaultRampMinAllowance
	}
	if config.MaxSampleAge == 0 {
		config.MaxSampleAge = DefaultRampMaxSampleAge
	}
	if config.PeakWindow == 0 {
		config.PeakWindow = DefaultRampPeakWindow
	}
	return &Ramp{config: config, allowance: float64(config.MinAllowance)}
}

// AddSample records a measurement. It ignores one that is older than the last
// or has reached MaxSampleAge.
func (r *Ramp) AddSample(now time.Time, sample RampSample) {
	if sample.MeasuredAt.Before(r.sample.MeasuredAt) || now.Sub(sample.MeasuredAt) >= r.config.MaxSampleAge {
		return
	}
	r.advance(now)
	if r.windowElapsed >= r.config.PeakWindow {
		r.previousPeak, r.windowPeak, r.windowElapsed = r.windowPeak, 0, 0
	}
	sample.Senders = max(sample.Senders, 1)
	r.sample = sample
	r.windowPeak = max(r.windowPeak, sample.Used)
	r.clamp()
}

// Allowance returns how many requests all instances together may have in
// flight.
func (r *Ramp) Allowance(now time.Time) savorystep.Slots {
	r.advance(now)
	return savorystep.Slots(r.allowance)
}

// Admit reports whether this instance, with ownInFlight requests in flight, may
// send one more.
func (r *Ramp) Admit(now time.Time, ownInFlight savorystep.Slots) bool {
	r.advance(now)
	senders := savorystep.Slots(max(r.sample.Senders, 1))
	ownMinimum := (r.config.MinAllowance + senders - 1) / senders
	ownGrowth := max(savorystep.Slots(r.allowance)-r.sample.Used, 0) / senders
	return ownInFlight < max(ownMinimum, r.sample.OwnUsed+ownGrowth)
}

// IsFrozen reports whether the allowance does not grow because the last
// measurement is too old.
func (r *Ramp) IsFrozen(now time.Time) bool {
	return now.Sub(r.sample.MeasuredAt) >= r.config.MaxSampleAge
}

// advance adds the growth for the time since the last update during which the
// last measurement was fresh.
func (r *Ramp) advance(now time.Time) {
	growthEnd := now
	if staleAt := r.sample.MeasuredAt.Add(r.config.MaxSampleAge); staleAt.Before(growthEnd) {
		growthEnd = staleAt
	}
	growthTime := growthEnd.Sub(r.updatedAt)
	if r.updatedAt.IsZero() {
		growthTime = 0
	}
	if now.After(r.updatedAt) {
		r.updatedAt = now
	}
	if growthTime <= 0 {
		return
	}
	r.windowElapsed += growthTime
	r.allowance += r.growthPerSecond() * growthTime.Seconds()
	r.clamp()
}

// growthPerSecond returns the growth of the allowance in slots per second.
func (r *Ramp) growthPerSecond() float64 {
	return r.config.GrowthRate * float64(r.sample.Slots)
}

// clamp keeps the allowance between the recent peak and one second's growth
// above it. That growth is at least one request per sender, so that the
// allowance for a small destination also grows.
func (r *Ramp) clamp() {
	recentPeak := float64(max(r.windowPeak, r.previousPeak))
	minAllowance := float64(r.config.MinAllowance)
	headroom := max(r.growthPerSecond(), minAllowance, float64(r.sample.Senders))
	r.allowance = max(min(r.allowance, recentPeak+headroom), recentPeak, minAllowance)
}
