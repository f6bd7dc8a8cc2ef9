package operator

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"savorystep"
)

// TestWithGrowthStarts guards against a shift that starts to grow from 0 again after
// its percentage or growth changed, which would move clients back and forth.
func TestWithGrowthStarts(t *testing.T) {
	now := time.Date(2026, 12, 4, 5, 0, 0, 0, time.UTC)
	for _, test := range []struct {
		name     string
		old, new savorystep.Shift
		oldAge   time.Duration
		wantAge  time.Duration
	}{
		{name: "back to less", old: savorystep.Shift{Percent: 40, GrowthPerSecond: 2}, new: savorystep.Shift{Percent: 10, GrowthPerSecond: 2}, oldAge: time.Minute, wantAge: 20 * time.Second},
		{name: "faster", old: savorystep.Shift{Percent: 40, GrowthPerSecond: 2}, new: savorystep.Shift{Percent: 40, GrowthPerSecond: 4}, oldAge: 10 * time.Second, wantAge: 5 * time.Second},
		{name: "finished", old: savorystep.Shift{Percent: 40}, new: savorystep.Shift{Percent: 60}, oldAge: time.Hour, wantAge: 8 * time.Second},
		{name: "growing", old: savorystep.Shift{Percent: 40}, new: savorystep.Shift{Percent: 60}, oldAge: 3 * time.Second, wantAge: 3 * time.Second},
		{name: "same", old: savorystep.Shift{Percent: 40}, new: savorystep.Shift{Percent: 40, Cap: 9}, oldAge: time.Hour, wantAge: time.Hour},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.old.GrowthStart = now.Add(-test.oldAge)
			current := &savorystep.Record{Shifts: []savorystep.Shift{test.old}}
			changed := withGrowthStarts(&savorystep.Record{Shifts: []savorystep.Shift{test.new, {To: "new"}}}, current, now)
			if got := now.Sub(changed.Shifts[0].GrowthStart); got != test.wantAge {
				t.Errorf("growth of the changed shift started %s ago, want %s", got, test.wantAge)
			}
			if !changed.Shifts[1].GrowthStart.Equal(now) {
				t.Errorf("growth of the new shift started at %s, want %s", changed.Shifts[1].GrowthStart, now)
			}
		})
	}
}

// TestDrainMovesAllTraffic guards against a drain that leaves traffic in the region,
// undoes an earlier drain, shifts traffic into a drained region, or results in an
// invalid record.
func TestDrainMovesAllTraffic(t *testing.T) {
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
			next, err := withDrain(record, drainPlan{region: region})
			if err != nil {
				if len(drained) == 0 && region != "burnie" {
					t.Fatalf("drain of %s: %v; want a shift to burnie, which has a weight above 0", region, err)
				}
				continue // No other region with a share is left.
			}
			record = next
			drained = append(drained, region)
			if err := ValidateRecord(record); err != nil {
				t.Fatalf("invalid record after the drain of %s: %v", region, err)
			}
			for _, earlier := range drained {
				if isShiftTarget(record, earlier) {
					t.Fatalf("a shift moves traffic into the drained region %s", earlier)
				}
				if regionWeight(record, earlier) > 0 && !isDrained(record, earlier) {
					t.Fatalf("region %s, which was drained, has traffic after the drain of %s", earlier, region)
				}
			}
		}
	})
}

// TestByteSizes guards against a size that is parsed as another value than was
// formatted, and against malformed or overflowing sizes that are accepted.
func TestByteSizes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.Int64Range(0, 1<<62).Draw(t, "bytes")
		if got, err := parseBytes(formatBytes(n)); err != nil || got != n {
			t.Fatalf("parse %s: got %d, error %v, want %d", formatBytes(n), got, err, n)
		}
	})
	for _, text := range []string{"", "1", "KB", "-1B", "1.5KB", "5000000000GiB", "1Kb", "0x1B"} {
		if n, err := parseBytes(text); err == nil {
			t.Errorf("parse %q: got %d, want an error", text, n)
		}
	}
}
