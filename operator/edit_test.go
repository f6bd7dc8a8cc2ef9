package operator

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"savorystep"
)

// TestWithStarts guards against a changed shift that falls back to nothing and
// grows anew, which would move clients to and fro.
func TestWithStarts(t *testing.T) {
	now := time.Date(2026, 12, 4, 5, 0, 0, 0, time.UTC)
	for _, test := range []struct {
		name     string
		old, new savorystep.Shift
		ago      time.Duration
		want     time.Duration
	}{
		{name: "back to less", old: savorystep.Shift{Percent: 40, GrowthPerSecond: 2}, new: savorystep.Shift{Percent: 10, GrowthPerSecond: 2}, ago: time.Minute, want: 20 * time.Second},
		{name: "faster", old: savorystep.Shift{Percent: 40, GrowthPerSecond: 2}, new: savorystep.Shift{Percent: 40, GrowthPerSecond: 4}, ago: 10 * time.Second, want: 5 * time.Second},
		{name: "finished", old: savorystep.Shift{Percent: 40}, new: savorystep.Shift{Percent: 60}, ago: time.Hour, want: 8 * time.Second},
		{name: "growing", old: savorystep.Shift{Percent: 40}, new: savorystep.Shift{Percent: 60}, ago: 3 * time.Second, want: 3 * time.Second},
		{name: "same", old: savorystep.Shift{Percent: 40}, new: savorystep.Shift{Percent: 40, Cap: 9}, ago: time.Hour, want: time.Hour},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.old.GrowthStart = now.Add(-test.ago)
			current := &savorystep.Record{Shifts: []savorystep.Shift{test.old}}
			changed := withStarts(&savorystep.Record{Shifts: []savorystep.Shift{test.new, {To: "new"}}}, current, now)
			if got := now.Sub(changed.Shifts[0].GrowthStart); got != test.want {
				t.Errorf("started %s ago, want %s", got, test.want)
			}
			if !changed.Shifts[1].GrowthStart.Equal(now) {
				t.Errorf("a new shift started at %s", changed.Shifts[1].GrowthStart)
			}
		})
	}
}

// TestDrainMovesAll guards against a drain that leaves a part of a region's
// traffic, undoes an earlier drain, sends traffic into a drained region, or
// gives a record that is refused.
func TestDrainMovesAll(t *testing.T) {
	regions := []savorystep.Region{"burnie", "hobart", "launceston", "natal"}
	rapid.Check(t, func(t *rapid.T) {
		record := &savorystep.Record{Schema: 1, Service: "orders"}
		for _, region := range regions {
			record.Shares = append(record.Shares, savorystep.Share{Region: region, Weight: rapid.IntRange(0, 100).Draw(t, string(region))})
		}
		record.Shares[0].Weight++
		order := rapid.Permutation(regions).Draw(t, "order")
		var drained []savorystep.Region
		for _, region := range order[:rapid.IntRange(1, len(order)).Draw(t, "drains")] {
			next, err := withDrain(record, drain{region: region})
			if err != nil {
				if len(drained) == 0 && region != "burnie" {
					t.Fatalf("%s could go to burnie: %v", region, err)
				}
				continue // No region is left to take the traffic.
			}
			record = next
			drained = append(drained, region)
			if err := ValidateRecord(record); err != nil {
				t.Fatalf("after the drain of %s: %v", region, err)
			}
			for _, done := range drained {
				if isTarget(record, done) {
					t.Fatalf("a shift leads into drained %s", done)
				}
				if regionWeight(record, done) > 0 && !isDrained(record, done) {
					t.Fatalf("%s keeps traffic after the drain of %s", done, region)
				}
			}
		}
	})
}

// TestBytes guards against a size that is read with another unit than written.
func TestBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.Int64Range(0, 1<<62).Draw(t, "bytes")
		if got, err := parseBytes(formatBytes(n)); err != nil || got != n {
			t.Fatalf("%s read as %d, %v", formatBytes(n), got, err)
		}
	})
	for _, text := range []string{"", "1", "KB", "-1B", "1.5KB", "5000000000GiB", "1Kb", "0x1B"} {
		if n, err := parseBytes(text); err == nil {
			t.Errorf("%q read as %d", text, n)
		}
	}
}
