package upstream_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"savorystep"
	"savorystep/upstream"
)

var steerStart = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// TestSteerScripts runs testdata/steer. "record" sets the record, "loads" the
// loads of the regions ("region slots used queued usable"), "steer" prints how
// 10,000 blocks are distributed and why, and "order" prints the regions for one
// block.
func TestSteerScripts(t *testing.T) {
	var record savorystep.Record
	var loads []savorystep.RegionLoad
	datadriven.RunTest(t, "testdata/steer", func(t *testing.T, d *datadriven.TestData) string {
		t.Helper()
		var home, after string
		block := 0
		d.MaybeScanArgs(t, "home", &home)
		d.MaybeScanArgs(t, "after", &after)
		d.MaybeScanArgs(t, "block", &block)
		now := steerStart
		if after != "" {
			elapsed, err := time.ParseDuration(after)
			if err != nil {
				d.Fatalf(t, "%v", err)
			}
			now = now.Add(elapsed)
		}
		switch d.Cmd {
		case "loads":
			loads = nil
			for line := range strings.Lines(d.Input) {
				var l savorystep.RegionLoad
				if _, err := fmt.Sscan(line, &l.Region, &l.Slots, &l.UsedSlots, &l.Queued, &l.UsableEndpoints); err != nil {
					d.Fatalf(t, "%v", err)
				}
				loads = append(loads, l)
			}
			return ""
		case "order":
			var out strings.Builder
			for _, decision := range upstream.Order(nil, &record, savorystep.BlockID(block), savorystep.Region(home), loads, now) {
				fmt.Fprintf(&out, "%s shifted=%t: %s\n", decision.Region, decision.Shift != nil, decision.Reason)
			}
			return out.String()
		case "record":
			record = savorystep.Record{}
			if err := json.Unmarshal([]byte(d.Input), &record); err != nil {
				d.Fatalf(t, "%v", err)
			}
			for i := range record.Shifts {
				record.Shifts[i].GrowthStart = steerStart
			}
			return ""
		}
		return blockDistribution(&record, savorystep.Region(home), loads, now)
	})
}

// blockDistribution returns the percentage of 10,000 blocks for each region and
// reason.
func blockDistribution(record *savorystep.Record, home savorystep.Region, loads []savorystep.RegionLoad, now time.Time) string {
	const blocks = 10_000
	counts := map[string]int{}
	for block := range savorystep.BlockID(blocks) {
		decision := upstream.Steer(record, block, home, loads, now)
		counts[fmt.Sprintf("%s: %s", decision.Region, decision.Reason)]++
	}
	var out strings.Builder
	for _, key := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(&out, "%.0f%% %s\n", float64(counts[key])*100/blocks, key)
	}
	return out.String()
}

var steerRegions = []savorystep.Region{"burnie", "hobart", "launceston", "natal", "recife"}

// drawRecord draws a record with shares of up to three of the five regions and
// shifts between any of them.
func drawRecord(t *rapid.T) *savorystep.Record {
	record := &savorystep.Record{Prefer: rapid.SampledFrom([]savorystep.Preference{"", "headroom", "latency"}).Draw(t, "prefer")}
	for _, region := range steerRegions[:rapid.IntRange(1, 3).Draw(t, "shares")] {
		weight := rapid.IntRange(0, 5).Draw(t, "weight")
		record.Shares = append(record.Shares, savorystep.Share{Region: region, Weight: weight})
	}
	for range rapid.IntRange(0, 3).Draw(t, "shifts") {
		record.Shifts = append(record.Shifts, savorystep.Shift{
			From:            rapid.SampledFrom(steerRegions).Draw(t, "from"),
			To:              rapid.SampledFrom(steerRegions).Draw(t, "to"),
			Percent:         rapid.IntRange(0, 100).Draw(t, "percent"),
			GrowthPerSecond: rapid.IntRange(0, 20).Draw(t, "growth"),
			GrowthStart:     steerStart,
		})
	}
	return record
}

// drawLoads draws the loads of some regions.
func drawLoads(t *rapid.T) []savorystep.RegionLoad {
	var loads []savorystep.RegionLoad
	for _, region := range steerRegions {
		if !rapid.Bool().Draw(t, "known") {
			continue
		}
		loads = append(loads, savorystep.RegionLoad{
			Region: region, Slots: 36, UsedSlots: savorystep.Slots(rapid.IntRange(0, 36).Draw(t, "used")),
			Queued: rapid.IntRange(0, 200).Draw(t, "queued"), UsableEndpoints: rapid.IntRange(0, 12).Draw(t, "usable"), Endpoints: 12,
		})
	}
	return loads
}

// TestSteerOnlyConfiguredRegions guards against traffic into a region that is
// neither in a share nor the destination of a shift, and against an order that
// contains a region twice.
func TestSteerOnlyConfiguredRegions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		record := drawRecord(t)
		allowed := map[savorystep.Region]bool{}
		for _, share := range record.Shares {
			if share.Weight > 0 {
				allowed[share.Region] = true
			}
		}
		for _, shift := range record.Shifts {
			if shift.Percent > 0 {
				allowed[shift.To] = true
			}
		}
		block := savorystep.BlockID(rapid.Uint32().Draw(t, "block"))
		home := rapid.SampledFrom(steerRegions).Draw(t, "home")
		now := steerStart.Add(time.Duration(rapid.IntRange(-10, 100).Draw(t, "seconds")) * time.Second)
		loads := drawLoads(t)
		order := upstream.Order(nil, record, block, home, loads, now)
		best := upstream.Steer(record, block, home, loads, now)
		if len(order) > 0 && order[0].Region != best.Region || len(order) == 0 && best.Region != "" {
			t.Fatalf("order %v does not begin with %v", order, best)
		}
		seen := map[savorystep.Region]bool{}
		for _, decision := range order {
			if !allowed[decision.Region] || seen[decision.Region] || decision.Reason == "" {
				t.Fatalf("decision %+v in %v is for a region that is not configured or repeated, or has no reason", decision, order)
			}
			if decision.Shift != nil && decision.Shift.To != decision.Region {
				t.Fatalf("decision %+v has a shift to another region", decision)
			}
			seen[decision.Region] = true
		}
	})
}

// TestSteerShiftPercent guards against a shift that moves more or fewer blocks
// than its percentage, and against one whose effect depends on the home region
// of the blocks.
func TestSteerShiftPercent(t *testing.T) {
	const blocks = 4000
	rapid.Check(t, func(t *rapid.T) {
		percent := rapid.IntRange(0, 100).Draw(t, "percent")
		first := rapid.Uint32Range(0, 1<<31).Draw(t, "first")
		record := &savorystep.Record{
			Shares: []savorystep.Share{{Region: "natal", Weight: 1}, {Region: "recife", Weight: rapid.IntRange(1, 3).Draw(t, "weight")}},
			Shifts: []savorystep.Shift{{From: "natal", To: "burnie", Percent: percent, GrowthStart: steerStart}},
		}
		home := rapid.SampledFrom([]savorystep.Region{"natal", "hobart"}).Draw(t, "home")
		fromNatal, moved := 0, 0
		for i := range uint32(blocks) {
			block := savorystep.BlockID(first + i)
			switch upstream.Steer(record, block, home, nil, steerStart.Add(time.Hour)).Region {
			case "burnie":
				moved++
				fromNatal++
			case "natal":
				fromNatal++
			}
		}
		// Five standard deviations of a binomial distribution.
		p := float64(percent) / 100
		bound := 5*math.Sqrt(float64(fromNatal)*p*(1-p)) + 1
		if math.Abs(float64(moved)-p*float64(fromNatal)) > bound {
			t.Fatalf("%d of %d blocks moved at %d%%, want a difference within five standard deviations", moved, fromNatal, percent)
		}
	})
}

// TestSteerShiftedBlocksStay guards against moving a block back while shifts
// grow.
func TestSteerShiftedBlocksStay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		record := &savorystep.Record{Shares: []savorystep.Share{{Region: "natal", Weight: 1}}}
		remaining := 100
		for _, to := range []savorystep.Region{"burnie", "recife"} {
			percent := rapid.IntRange(0, remaining).Draw(t, "percent")
			remaining -= percent
			record.Shifts = append(record.Shifts, savorystep.Shift{
				From: "natal", To: to, Percent: percent, GrowthPerSecond: rapid.IntRange(1, 20).Draw(t, "growth"), GrowthStart: steerStart,
			})
		}
		block := savorystep.BlockID(rapid.Uint32().Draw(t, "block"))
		previous := savorystep.Region("natal")
		for second := range 120 {
			current := upstream.Steer(record, block, "natal", nil, steerStart.Add(time.Duration(second)*time.Second)).Region
			if previous != "natal" && current != previous {
				t.Fatalf("block %d moved from %s to %s after %d s", block, previous, current, second)
			}
			previous = current
		}
	})
}

// TestSteerNoAllocation guards against allocations for each request.
func TestSteerNoAllocation(t *testing.T) {
	record, loads := benchRecord()
	block := savorystep.BlockID(0)
	allocs := testing.AllocsPerRun(1000, func() {
		block++
		upstream.Steer(record, block, "launceston", loads, steerStart.Add(time.Minute))
	})
	if allocs != 0 {
		t.Errorf("%.1f allocations per call, want 0", allocs)
	}
}

// benchRecord returns a record with three shares and a shift, and the loads of
// its regions.
func benchRecord() (*savorystep.Record, []savorystep.RegionLoad) {
	record := &savorystep.Record{
		Shares: []savorystep.Share{{Region: "hobart", Weight: 2}, {Region: "launceston", Weight: 1}, {Region: "burnie", Weight: 1}},
		Shifts: []savorystep.Shift{{From: "hobart", To: "burnie", Percent: 20, GrowthStart: steerStart}},
	}
	loads := make([]savorystep.RegionLoad, 0, len(record.Shares))
	for _, share := range record.Shares {
		loads = append(loads, savorystep.RegionLoad{Region: share.Region, Slots: 36, UsedSlots: 20, UsableEndpoints: 12, Endpoints: 12})
	}
	return record, loads
}

// BenchmarkSteer measures one decision: for a caller whose home region has a
// share, for one distributed by the hash, and for one whose region is full.
func BenchmarkSteer(b *testing.B) {
	record, loads := benchRecord()
	full := append([]savorystep.RegionLoad(nil), loads...)
	full[0].Queued = 1000
	cases := []struct {
		name  string
		home  savorystep.Region
		loads []savorystep.RegionLoad
	}{
		{name: "failover", home: "hobart", loads: full},
		{name: "hash", home: "natal", loads: loads},
		{name: "home", home: "hobart", loads: loads},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			block := savorystep.BlockID(0)
			for b.Loop() {
				block++
				upstream.Steer(record, block, c.home, c.loads, steerStart.Add(time.Minute))
			}
		})
	}
}
