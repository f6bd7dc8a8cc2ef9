package savorystep

import "time"

var _ Clock = SystemClock{}

// A SystemClock is a Clock that reads the system time.
type SystemClock struct{}

// Now implements Clock.
func (SystemClock) Now() time.Time {
	return time.Now()
}
