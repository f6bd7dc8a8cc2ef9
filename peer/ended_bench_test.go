package peer_test

import (
	"fmt"
	"slices"
	"strconv"
	"sync"
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
				var mu sync.Mutex
				var knownAt []time.Time
				countKnown := func() int {
					mu.Lock()
					defer mu.Unlock()
					return len(knownAt)
				}
				subject := func(i int) string { return fmt.Sprintf("i-%010x", i) }
				for index, n := range f.nodes {
					subjects := make(map[string]bool)
					for i := range endpoints {
						// A finder knows of it already.
						subjects[subject(i)] = (index-i*finders%size+size)%size < finders
					}
					n.Subscribe(savorystep.FactEnded, func(fact savorystep.ReceivedFact) {
						if !subjects[fact.Subject] {
							subjects[fact.Subject] = true
							mu.Lock()
							defer mu.Unlock()
							knownAt = append(knownAt, time.Now())
						}
					})
				}
				idleSent, _, _ := f.totals()
				start := time.Now()
				time.Sleep(5 * time.Second)
				before, _, _ := f.totals()
				idle := (before - idleSent) / time.Since(start).Seconds()
				cpuBefore, start := cpuTime(), time.Now()
				for i := range endpoints {
					for k := range finders {
						f.nodes[(i*finders+k)%size].Publish(savorystep.FactEnded, subject(i), savorystep.EndedFact{StartedAtMillis: 1_791_317_950_729, Number: 1})
					}
				}
				want := endpoints * (size - finders)
				eventually(b, "news known to all", func() bool { return countKnown() >= want })
				took, used := time.Since(start), cpuTime()-cpuBefore
				after, _, _ := f.totals()
				news := float64(endpoints)
				slices.SortFunc(knownAt, time.Time.Compare)
				for name, rank := range map[string]int{"median-ms": want / 2, "p95-ms": want * 95 / 100, "all-ms": want - 1} {
					b.ReportMetric(knownAt[rank].Sub(start).Seconds()*1000, name)
				}
				b.ReportMetric((after-before-idle*took.Seconds())/news/float64(size), "sentB/ending/node")
				b.ReportMetric(float64(used.Microseconds())/news/float64(size), "µs/ending/node")
				f.stop()
			}
		})
	}
}
