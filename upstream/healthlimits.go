package upstream

import "time"

// HealthLimits configures a Health. Zero values select the defaults given with
// the fields.
type HealthLimits struct {
	// ConsecutiveFailures is the number of consecutive failures that eject an
	// endpoint; 3 by default.
	ConsecutiveFailures int
	// BaseEjectionTime is the duration of the first ejection; 1 s by default.
	// It doubles with each further ejection up to MaxEjectionTime; 30 s by
	// default.
	BaseEjectionTime time.Duration
	MaxEjectionTime  time.Duration
	// SlowStartWindow is the time over which an endpoint regains its slots
	// after an ejection; 10 s by default.
	SlowStartWindow time.Duration
	// BaseShedPause is the pause after a shed request; 20 ms by default, the
	// average service time. It doubles with each consecutive shed request up to
	// MaxShedPause; 1 s by default. In the model of TestCompareChoicePolicies,
	// 50 ms makes more requests wait while slots are free, and 5 ms increases
	// the shed requests by about half.
	BaseShedPause time.Duration
	MaxShedPause  time.Duration
	// MaxSuccessAge is how long a success of this instance's own requests
	// overrides the load page; 5 s by default.
	MaxSuccessAge time.Duration
	// MaxLoadPageAge is how long a load page is used; 15 s by default, which is
	// longer than the interval at which the load pages of unused endpoints are
	// read.
	MaxLoadPageAge time.Duration
	// MaxPeerDrainAge is how long a peer's report that an endpoint is draining
	// is used; 10 s by default. Peers repeat the report while it applies.
	MaxPeerDrainAge time.Duration
}

// withDefaults returns the limits with zero values replaced by the defaults.
func (l HealthLimits) withDefaults() HealthLimits {
	setDefault(&l.ConsecutiveFailures, 3)
	setDefault(&l.BaseEjectionTime, time.Second)
	setDefault(&l.MaxEjectionTime, 30*time.Second)
	setDefault(&l.SlowStartWindow, 10*time.Second)
	setDefault(&l.BaseShedPause, 20*time.Millisecond)
	setDefault(&l.MaxShedPause, time.Second)
	setDefault(&l.MaxSuccessAge, 5*time.Second)
	setDefault(&l.MaxLoadPageAge, 15*time.Second)
	setDefault(&l.MaxPeerDrainAge, 10*time.Second)
	return l
}
