package cmd

import (
	"testing"
	"time"
)

// TestStallDetector guards against a stall of the process that is not reported, so
// that its late answers are attributed to slow endpoints.
func TestStallDetector(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, test := range []struct {
		name string
		gap  time.Duration
		want time.Duration
	}{
		{name: "delay below minStall", gap: 900 * time.Millisecond},
		{name: "on time", gap: 250 * time.Millisecond},
		{name: "stall", gap: 5250 * time.Millisecond, want: 5 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			detector := stallDetector{interval: 250 * time.Millisecond, minStall: minStall}
			if stall := detector.tick(start); stall != 0 {
				t.Errorf("the first tick returned a stall of %v, want 0", stall)
			}
			if got := detector.tick(start.Add(test.gap)); got != test.want {
				t.Errorf("stall of %v, want %v", got, test.want)
			}
		})
	}
}
