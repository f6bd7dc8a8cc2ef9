package savorystep_test

import (
	"testing"
	"time"

	"savorystep"
)

// TestNextPollDelay guards against a total poll rate that grows with the fleet and
// overloads the platform.
func TestNextPollDelay(t *testing.T) {
	cases := []struct {
		name      string
		instances int
		want      time.Duration
	}{
		{name: "alone", instances: 1, want: time.Second},
		{name: "fleet", instances: 2400, want: 200 * time.Second},
		{name: "none known", instances: 0, want: time.Second},
		{name: "today", instances: 12, want: time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for range 100 {
				got := savorystep.NextPollDelay(time.Second, c.instances)
				if got < c.want*8/10 || got > c.want*12/10 {
					t.Fatalf("NextPollDelay = %s, want %s ±20 %%", got, c.want)
				}
			}
		})
	}
}
