package cmd

import (
	"testing"
	"time"
)

// TestStallWatch guards against a process that stood still without a word of it:
// whoever looks for the cause of late answers takes the endpoints for slow.
func TestStallWatch(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, test := range []struct {
		name string
		gap  time.Duration
		want time.Duration
	}{
		{name: "a little late", gap: 900 * time.Millisecond},
		{name: "in time", gap: 250 * time.Millisecond},
		{name: "stood still", gap: 5250 * time.Millisecond, want: 5 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			watch := stallDetector{interval: 250 * time.Millisecond}
			if first := watch.tick(start); first != 0 {
				t.Errorf("the first tick is late by %v", first)
			}
			if got := watch.tick(start.Add(test.gap)); got != test.want {
				t.Errorf("stood still for %v, want %v", got, test.want)
			}
		})
	}
}
