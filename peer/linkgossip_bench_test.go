package peer

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"savorystep"
)

// BenchmarkBusyLink measures a round of gossip on a link on which many facts wait because
// the byte budget is used up.
func BenchmarkBusyLink(b *testing.B) {
	for _, count := range []int{100, 1000} {
		b.Run("facts="+strconv.Itoa(count), func(b *testing.B) {
			now := time.Unix(1000, 0)
			e, l := newBusyLink(now)
			for i := range count {
				e.Publish(savorystep.FactCrash, fmt.Sprint("request-", i), savorystep.CrashFact{Streak: 1})
			}
			e.mu.Lock()
			defer e.mu.Unlock()
			for b.Loop() {
				l.gossipDue = true
				l.addPendingFacts(now, &factsFrame{}, 0)
			}
			b.ReportMetric(float64(len(l.pending)), "pending")
		})
	}
}
