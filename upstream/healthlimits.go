package upstream

import "time"

// HealthLimits are the limits of a Health. Zero values take the defaults given
// with the fields.
type HealthLimits struct {
	// Failures is how many consecutive failures eject an endpoint; 3 by
	// default.
	Failures int
	// Eject is the length of the first ejection, which doubles up to EjectMax;
	// 1 s and 30 s by default.
	Eject    time.Duration
	EjectMax time.Duration
	// SlowStart is how long an endpoint takes to regain its slots after an
	// ejection; 10 s by default.
	SlowStart time.Duration
	// Shed is the pause after a shed request, which doubles up to ShedMax with
	// consecutive ones; 20 ms, the usual time of a request, and 1 s by default.
	// In the model of TestCompareWays, 50 ms keeps more requests waiting beside
	// free slots and 5 ms has half as many shed again.
	Shed    time.Duration
	ShedMax time.Duration
	// Trust is how long an outcome of an own request outweighs the load page;
	// 5 s by default.
	Trust time.Duration
	// PageAge is how long a load page holds; 15 s by default, so that it
	// outlasts the slow rate of reading pages of unused endpoints.
	PageAge time.Duration
	// DrainAge is how long a peer's statement that an endpoint drains holds;
	// 10 s by default. Peers repeat it while they believe it.
	DrainAge time.Duration
}

// withDefaults returns the limits with defaults for zero values.
func (l HealthLimits) withDefaults() HealthLimits {
	setDefault(&l.Failures, 3)
	setDefault(&l.Eject, time.Second)
	setDefault(&l.EjectMax, 30*time.Second)
	setDefault(&l.SlowStart, 10*time.Second)
	setDefault(&l.Shed, 20*time.Millisecond)
	setDefault(&l.ShedMax, time.Second)
	setDefault(&l.Trust, 5*time.Second)
	setDefault(&l.PageAge, 15*time.Second)
	setDefault(&l.DrainAge, 10*time.Second)
	return l
}
