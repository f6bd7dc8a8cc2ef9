package savorystep

import (
	"math/rand/v2"
	"time"
)

// pollBaseInstances is the greatest fleet size whose instances all poll the platform
// at the base interval.
const pollBaseInstances = 12

// NextPollDelay returns the delay until an instance polls the platform again. Above
// 12 instances the delay grows in proportion to their number, so that the total
// poll rate of the fleet stays constant; instances share what they read as facts. A
// jitter of ±20 % spreads the polls of instances that started at the same time.
func NextPollDelay(base time.Duration, instances int) time.Duration {
	delay := float64(base) * max(1, float64(instances)/pollBaseInstances)
	return time.Duration(delay * (0.8 + 0.4*rand.Float64()))
}
