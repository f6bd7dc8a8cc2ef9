package upstream

import (
	"time"

	"savorystep"
)

// The defaults of a RampConfig.
const (
	// DefaultRampShare is the growth of a destination per second as a part of
	// its slots. At 5% an idle destination is full after 20 s, which gives its
	// caches time to warm.
	DefaultRampShare = 0.05
	// DefaultRampFloor is the allowance of an idle destination.
	DefaultRampFloor = savorystep.Slots(2)
	// DefaultRampStale is the age from which a measurement is too old. It
	// equals the time after which a member without heartbeat is left out.
	DefaultRampStale = 2 * time.Second
	// DefaultRampWindow is how long use keeps a destination warm.
	DefaultRampWindow = 30 * time.Second
)

// A RampConfig holds the settings of a Ramp. Zero values mean the defaults.
type RampConfig struct {
	// Share is the growth per second as a part of the destination's slots.
	Share float64
	// Floor is the least allowance over all instances.
	Floor savorystep.Slots
	// Stale is the age from which a measurement freezes growth.
	Stale time.Duration
	// Window is how long a peak of use counts as recent, up to twice this
	// time.
	Window time.Duration
}

// A RampSample is a measurement of a service in a region.
type RampSample struct {
	// Measured is when the measurement was made.
	Measured time.Time
	// Slots counts the usable slots of the destination.
	Slots savorystep.Slots
	// Used counts the slots in use by all instances, Own those in use by this
	// one.
	Used, Own savorystep.Slots
	// Sharers is how many instances send to the destination, this one
	// included. Each takes an equal part of the growth, since an instance sees
	// the growth of the others only with their next measurement.
	Sharers int
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
	allowed float64
	updated time.Time
	// peak and lastPeak are the greatest use in this window and the one
	// before. elapsed is how much fresh time of this window is over.
	peak, lastPeak savorystep.Slots
	elapsed        time.Duration
}

// NewRamp returns a ramp for a destination that was not in use.
func NewRamp(config RampConfig) *Ramp {
	if config.Share == 0 {
		config.Share = DefaultRampShare
	}
	if config.Floor == 0 {
		config.Floor = DefaultRampFloor
	}
	if config.Stale == 0 {
		config.Stale = DefaultRampStale
	}
	if config.Window == 0 {
		config.Window = DefaultRampWindow
	}
	return &Ramp{config: config, allowed: float64(config.Floor)}
}

// Measure takes a measurement. One that is older than the last, or too old to
// be of use, is ignored.
func (r *Ramp) Measure(now time.Time, sample RampSample) {
	if sample.Measured.Before(r.sample.Measured) || now.Sub(sample.Measured) >= r.config.Stale {
		return
	}
	r.advance(now)
	if r.elapsed >= r.config.Window {
		r.lastPeak, r.peak, r.elapsed = r.peak, 0, 0
	}
	sample.Sharers = max(sample.Sharers, 1)
	r.sample = sample
	r.peak = max(r.peak, sample.Used)
	r.clamp()
}

// Allowance returns how many requests may be in flight over all instances.
func (r *Ramp) Allowance(now time.Time) savorystep.Slots {
	r.advance(now)
	return savorystep.Slots(r.allowed)
}

// Admit reports whether this instance, with own requests in flight, may send
// one more.
func (r *Ramp) Admit(now time.Time, own savorystep.Slots) bool {
	r.advance(now)
	sharers := savorystep.Slots(max(r.sample.Sharers, 1))
	floor := (r.config.Floor + sharers - 1) / sharers
	growth := max(savorystep.Slots(r.allowed)-r.sample.Used, 0) / sharers
	return own < max(floor, r.sample.Own+growth)
}

// IsFrozen reports whether growth stands still because the last measurement is
// too old.
func (r *Ramp) IsFrozen(now time.Time) bool {
	return now.Sub(r.sample.Measured) >= r.config.Stale
}

// advance lets the allowance grow for the time during which the last
// measurement was fresh.
func (r *Ramp) advance(now time.Time) {
	end := now
	if stale := r.sample.Measured.Add(r.config.Stale); stale.Before(end) {
		end = stale
	}
	fresh := end.Sub(r.updated)
	if r.updated.IsZero() {
		fresh = 0
	}
	if now.After(r.updated) {
		r.updated = now
	}
	if fresh <= 0 {
		return
	}
	r.elapsed += fresh
	r.allowed += r.perSecond() * fresh.Seconds()
	r.clamp()
}

// perSecond returns the growth per second.
func (r *Ramp) perSecond() float64 {
	return r.config.Share * float64(r.sample.Slots)
}

// clamp keeps the allowance between what was recently in use and one second's
// growth above it. That growth is at least one request for each sharer, so
// that a small destination grows too.
func (r *Ramp) clamp() {
	recent := float64(max(r.peak, r.lastPeak))
	least := float64(r.config.Floor)
	ahead := max(r.perSecond(), least, float64(r.sample.Sharers))
	r.allowed = max(min(r.allowed, recent+ahead), recent, least)
}
