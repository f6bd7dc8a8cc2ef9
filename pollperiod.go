package savorystep

import (
	"math/rand/v2"
	"time"
)

// pollBaseInstances is how many instances read the platform at the base period.
const pollBaseInstances = 12

// PollPeriod returns the time to the next read of the platform by one of the
// given number of instances. Beyond 12 instances it grows with their number, so
// that the reads of all together stay the same; what one of them learns
// reaches the others as facts. A jitter of a fifth spreads the reads of
// instances that started together.
func PollPeriod(base time.Duration, instances int) time.Duration {
	period := float64(base) * max(1, float64(instances)/pollBaseInstances)
	return time.Duration(period * (0.8 + 0.4*rand.Float64()))
}
