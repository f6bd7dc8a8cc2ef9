package peer_test

import (
	"fmt"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"savorystep"
)

// endedFleetSizes are the numbers of instances for which the news of an ended endpoint is
// measured.
var endedFleetSizes = []int{12, 83, 295}

// BenchmarkEndedEndpoints measures what the news that endpoints have ended costs, when
// three instances find each of them, and how long it takes to all instances. Run it with
// -benchtime=1x.
func BenchmarkEndedEndpoints(b *testing.B) {
	const endpoints, finders = 30, 3
	for _, size := range endedFleetSizes {
		b.Run("nodes="+strconv.Itoa(size), func(b *testing.B) {
			for b.Loop() {
				f := newFleet(b, size, benchConfig)
				f.waitForFullMembership(b)
				time.Sleep(settleTime)
				var received atomic.Int64
				for _, n := range f.nodes {
					n.Subscribe(savorystep.FactEnded, func(savorystep.ReceivedFact) { received.Add(1) })
				}
				idleSent, _, _ := f.totals()
				start := time.Now()
				time.Sleep(5 * time.Second)
				before, _, _ := f.totals()
				idle := (before - idleSent) / time.Since(start).Seconds()
				cpuBefore, start := cpuTime(), time.Now()
				for i := range endpoints {
					for k := range finders {
						f.nodes[(i*finders+k)%size].Publish(savorystep.FactEnded, fmt.Sprintf("i-%010x", i), savorystep.EndedFact{StartedAtMillis: 1_791_317_950_729, Number: 1})
					}
				}
				want := int64(endpoints * finders * (size - 1))
				eventually(b, "news known to all", func() bool { return received.Load() >= want })
				took, used := time.Since(start), cpuTime()-cpuBefore
				after, _, _ := f.totals()
				news := float64(endpoints)
				b.ReportMetric(took.Seconds()*1000, "all-ms")
				b.ReportMetric((after-before-idle*took.Seconds())/news/float64(size), "sentB/ending/node")
				b.ReportMetric(float64(used.Microseconds())/news/float64(size), "µs/ending/node")
				f.stop()
			}
		})
	}
}
