package savorystep

import "time"

var _ Clock = SystemClock{}

// A SystemClock is the clock of the machine.
type SystemClock struct{}

// Now returns the present time.
func (SystemClock) Now() time.Time {
	return time.Now()
}
