package upstream

import "time"

// HealthLimits are the limits of a Health. Zero values take the defaults given
// with the fields.
type HealthLimits struct {
	// ConsecutiveFailures is how many consecutive failures eject an endpoint; 3 by
	// default.
	ConsecutiveFailures int
	// BaseEjectionTime is the length of the first ejection, which doubles up to EjectMax;
	// 1 s and 30 s by default.
	BaseEjectionTime time.Duration
	MaxEjectionTime  time.Duration
	// SlowStartWindow is how long an endpoint takes to regain its slots after an
	// ejection; 10 s by default.
	SlowStartWindow time.Duration
	// BaseShedPause is the pause after a shed request, which doubles up to ShedMax with
	// consecutive ones; 20 ms, the usual time of a request, and 1 s by default.
	// In the model of TestCompareWays, 50 ms keeps more requests waiting beside
	// free slots and 5 ms has half as many shed again.
	BaseShedPause time.Duration
	MaxShedPause  time.Duration
	// MaxSuccessAge is how long an outcome of an own request outweighs the load page;
	// 5 s by default.
	MaxSuccessAge time.Duration
	// MaxLoadPageAge is how long a load page holds; 15 s by default, so that it
	// outlasts the slow rate of reading pages of unused endpoints.
	MaxLoadPageAge time.Duration
	// MaxPeerDrainAge is how long a peer's statement that an endpoint drains holds;
	// 10 s by default. Peers repeat it while they believe it.
	MaxPeerDrainAge time.Duration
}

// withDefaults returns the limits with defaults for zero values.
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
