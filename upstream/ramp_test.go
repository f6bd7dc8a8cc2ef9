package upstream_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"savorystep"
	"savorystep/upstream"
)

var rampStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// saturateRamp requests as many slots as the ramp admits for some seconds, in
// steps of 100 ms, and returns the requests in flight.
func saturateRamp(ramp *upstream.Ramp, from time.Time, seconds int, slots, used savorystep.Slots) savorystep.Slots {
	for i := range seconds * 10 {
		now := from.Add(time.Duration(i) * 100 * time.Millisecond)
		ramp.AddSample(now, upstream.RampSample{MeasuredAt: now, Slots: slots, Used: used, OwnUsed: used, Senders: 1})
		for used < slots && ramp.Admit(now, used) {
			used++
		}
	}
	return used
}

// TestRampGrowth guards against filling a cold destination at once, and against
// a ramp that never reaches the destination's slots.
func TestRampGrowth(t *testing.T) {
	for _, test := range []struct {
		name        string
		seconds     int
		slots       savorystep.Slots
		least, most savorystep.Slots
	}{
		{name: "large after 1 s", seconds: 1, slots: 1000, least: 2, most: 102},
		{name: "large after 10 s", seconds: 10, slots: 1000, least: 400, most: 552},
		{name: "large after 25 s", seconds: 25, slots: 1000, least: 1000, most: 1000},
		{name: "small after 4 s", seconds: 4, slots: 40, least: 8, most: 12},
		{name: "small after 30 s", seconds: 30, slots: 40, least: 40, most: 40},
	} {
		t.Run(test.name, func(t *testing.T) {
			used := saturateRamp(upstream.NewRamp(upstream.RampConfig{}), rampStart, test.seconds, test.slots, 0)
			if used < test.least || used > test.most {
				t.Errorf("%d in flight after %d s, want %d to %d", used, test.seconds, test.least, test.most)
			}
		})
	}
}

// TestRampIdleDoesNotAccumulate guards against an allowance that grows while
// the destination is idle.
func TestRampIdleDoesNotAccumulate(t *testing.T) {
	ramp := upstream.NewRamp(upstream.RampConfig{})
	for i := range 3600 {
		now := rampStart.Add(time.Duration(i) * time.Second)
		ramp.AddSample(now, upstream.RampSample{MeasuredAt: now, Slots: 1000, Senders: 1})
	}
	if got := ramp.Allowance(rampStart.Add(time.Hour)); got > 50 {
		t.Errorf("allowance after an idle hour is %d, want at most 50", got)
	}
}

// TestRampFreezes guards against growth while measurements are missing, and
// against treating missing measurements as missing traffic.
func TestRampFreezes(t *testing.T) {
	ramp := upstream.NewRamp(upstream.RampConfig{})
	used := saturateRamp(ramp, rampStart, 10, 1000, 0)
	last := rampStart.Add(10 * time.Second)
	frozen := ramp.Allowance(last.Add(3 * time.Second))
	if !ramp.IsFrozen(last.Add(3 * time.Second)) {
		t.Error("not frozen 3 s after the last measurement")
	}
	if got := ramp.Allowance(last.Add(10 * time.Minute)); got != frozen {
		t.Errorf("allowance moved from %d to %d without measurements", frozen, got)
	}
	resumed := last.Add(10 * time.Minute)
	ramp.AddSample(resumed, upstream.RampSample{MeasuredAt: resumed, Slots: 1000, Used: 1, OwnUsed: 1, Senders: 1})
	if got := ramp.Allowance(resumed); got < used {
		t.Errorf("allowance fell to %d after a gap, %d were in use", got, used)
	}
	if got := ramp.Allowance(resumed); got > frozen {
		t.Errorf("allowance rose from %d to %d over a gap", frozen, got)
	}
}

// TestRampSumOfSenders guards against instances that each use the whole growth:
// with measurements up to 1 s old, all together stay within the growth of the
// elapsed time plus that of one measurement interval.
func TestRampSumOfSenders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		senders := rapid.IntRange(1, 12).Draw(t, "senders")
		slots := savorystep.Slots(rapid.IntRange(10, 2000).Draw(t, "slots"))
		ramps := make([]*upstream.Ramp, senders)
		ownInFlight := make([]savorystep.Slots, senders)
		for i := range ramps {
			ramps[i] = upstream.NewRamp(upstream.RampConfig{})
		}
		var used savorystep.Slots
		for second := range 15 {
			now := rampStart.Add(time.Duration(second) * time.Second)
			before := used
			for i, ramp := range ramps {
				ramp.AddSample(now, upstream.RampSample{MeasuredAt: now, Slots: slots, Used: before, OwnUsed: ownInFlight[i], Senders: senders})
			}
			for step := range 10 {
				at := now.Add(time.Duration(step) * 100 * time.Millisecond)
				for i, ramp := range ramps {
					for used < slots && ramp.Admit(at, ownInFlight[i]) {
						ownInFlight[i]++
						used++
					}
				}
			}
			limit := savorystep.Slots(float64(second+2)*max(float64(slots)*0.05, float64(senders), 2)) + savorystep.Slots(senders)
			if used > limit {
				t.Fatalf("%d in flight after %d s, at most %d allowed", used, second+1, limit)
			}
		}
	})
}

// BenchmarkRampAdmit measures one call of Admit.
func BenchmarkRampAdmit(b *testing.B) {
	ramp := upstream.NewRamp(upstream.RampConfig{})
	now := rampStart
	ramp.AddSample(now, upstream.RampSample{MeasuredAt: now, Slots: 1000, Used: 100, OwnUsed: 100, Senders: 1})
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		ramp.Admit(now, 100)
	}
}

// BenchmarkRampAddSample measures one call of AddSample.
func BenchmarkRampAddSample(b *testing.B) {
	ramp := upstream.NewRamp(upstream.RampConfig{})
	now := rampStart
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(100 * time.Millisecond)
		ramp.AddSample(now, upstream.RampSample{MeasuredAt: now, Slots: 1000, Used: 100, OwnUsed: 100, Senders: 1})
	}
}
