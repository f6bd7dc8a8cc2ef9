package upstream

import (
	"time"

	"savorystep"
)

// The defaults of a RampConfig.
const (
	// DefaultRampGrowthRate is the growth of a destination per second as a part of
	// its slots. At 5% an idle destination is full after 20 s, which gives its
	// caches time to warm.
	DefaultRampGrowthRate = 0.05
	// DefaultRampMinAllowance is the allowance of an idle destination.
	DefaultRampMinAllowance = savorystep.Slots(2)
	// DefaultRampMaxSampleAge is the age from which a measurement is too old. It
	// equals the time after which a member without heartbeat is left out.
	DefaultRampMaxSampleAge = 2 * time.Second
	// DefaultRampPeakWindow is how long use keeps a destination warm.
	DefaultRampPeakWindow = 30 * time.Second
)

// A RampConfig holds the settings of a Ramp. Zero values mean the defaults.
type RampConfig struct {
	// GrowthRate is the growth per second as a part of the destination's slots.
	GrowthRate float64
	// MinAllowance is the least allowance over all instances.
	MinAllowance savorystep.Slots
	// MaxSampleAge is the age from which a measurement freezes growth.
	MaxSampleAge time.Duration
	// PeakWindow is how long a peak of use counts as recent, up to twice this
	// time.
	PeakWindow time.Duration
}

// A RampSample is a measurement of a service in a region.
type RampSample struct {
	// MeasuredAt is when the measurement was made.
	MeasuredAt time.Time
	// Slots counts the usable slots of the destination.
	Slots savorystep.Slots
	// Used counts the slots in use by all instances, OwnUsed those in use by this
	// one.
	Used, OwnUsed savorystep.Slots
	// Senders is how many instances send to the destination, this one
	// included. Each takes an equal part of the growth, since an instance sees
	// the growth of the others only with their next measurement.
	Senders int
}

// A Ramp limits how fast the number of requests in flight of a service into a
// region grows, because caches of a destination without traffic are cold.
//
// The allowance rises by a share of the destination's slots per second, and
// never runs ahead of what was recently in use by more than the growth of one
// second: a destination that was idle for an hour is as cold as one that was
// idle for a minute. Time without a fresh measurement counts neither as time
// to grow nor as time without use.
//
// A Ramp reads no clock and is not safe for concurrent use.
type Ramp struct {
	config RampConfig
	sample RampSample
	// allowed is the allowance at the time updated.
	allowance float64
	updatedAt time.Time
	// peak and lastPeak are the greatest use in this window and the one
	// before. elapsed is how much fresh time of this window is over.
	peak, lastPeak savorystep.Slots
	windowElapsed  time.Duration
}

// NewRamp returns a ramp for a destination that was not in use.
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

// AddSample takes a measurement. One that is older than the last, or too old to
// be of use, is ignored.
func (r *Ramp) AddSample(now time.Time, sample RampSample) {
	if sample.MeasuredAt.Before(r.sample.MeasuredAt) || now.Sub(sample.MeasuredAt) >= r.config.MaxSampleAge {
		return
	}
	r.advance(now)
	if r.windowElapsed >= r.config.PeakWindow {
		r.lastPeak, r.peak, r.windowElapsed = r.peak, 0, 0
	}
	sample.Senders = max(sample.Senders, 1)
	r.sample = sample
	r.peak = max(r.peak, sample.Used)
	r.clamp()
}

// Allowance returns how many requests may be in flight over all instances.
func (r *Ramp) Allowance(now time.Time) savorystep.Slots {
	r.advance(now)
	return savorystep.Slots(r.allowance)
}

// Admit reports whether this instance, with own requests in flight, may send
// one more.
func (r *Ramp) Admit(now time.Time, own savorystep.Slots) bool {
	r.advance(now)
	sharers := savorystep.Slots(max(r.sample.Senders, 1))
	floor := (r.config.MinAllowance + sharers - 1) / sharers
	growth := max(savorystep.Slots(r.allowance)-r.sample.Used, 0) / sharers
	return own < max(floor, r.sample.OwnUsed+growth)
}

// IsFrozen reports whether growth stands still because the last measurement is
// too old.
func (r *Ramp) IsFrozen(now time.Time) bool {
	return now.Sub(r.sample.MeasuredAt) >= r.config.MaxSampleAge
}

// advance lets the allowance grow for the time during which the last
// measurement was fresh.
func (r *Ramp) advance(now time.Time) {
	end := now
	if stale := r.sample.MeasuredAt.Add(r.config.MaxSampleAge); stale.Before(end) {
		end = stale
	}
	fresh := end.Sub(r.updatedAt)
	if r.updatedAt.IsZero() {
		fresh = 0
	}
	if now.After(r.updatedAt) {
		r.updatedAt = now
	}
	if fresh <= 0 {
		return
	}
	r.windowElapsed += fresh
	r.allowance += r.perSecond() * fresh.Seconds()
	r.clamp()
}

// perSecond returns the growth per second.
func (r *Ramp) perSecond() float64 {
	return r.config.GrowthRate * float64(r.sample.Slots)
}

// clamp keeps the allowance between what was recently in use and one second's
// growth above it. That growth is at least one request for each sharer, so
// that a small destination grows too.
func (r *Ramp) clamp() {
	recent := float64(max(r.peak, r.lastPeak))
	least := float64(r.config.MinAllowance)
	ahead := max(r.perSecond(), least, float64(r.sample.Senders))
	r.allowance = max(min(r.allowance, recent+ahead), recent, least)
}
