package peer_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"strconv"
	"syscall"
	"testing"
	"time"

	"savorystep"
	"savorystep/peer"
)

// fleetSizes are the fleet sizes of the benchmarks. All nodes run in this
// process and communicate over loopback.
var fleetSizes = []int{8, 16, 32, 64, 128, 256}

// A load publishes facts at each node as instances do: the counts of requests
// in flight to the endpoints of one service. loadOwners nodes share a service.
type load struct {
	cancel context.CancelFunc
	done   chan struct{}
}

const (
	loadOwners    = 4
	loadEndpoints = 12
	loadInterval  = 100 * time.Millisecond
	settleTime    = 20 * time.Second
)

func startLoad(f *fleet) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{cancel: cancel, done: make(chan struct{})}
	nodes := slices.Clone(f.nodes)
	go func() {
		defer close(l.done)
		ticker := time.NewTicker(loadInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return
			}
			for i, n := range nodes {
				subject := fmt.Sprintf("service-%d/endpoint-%02d", i/loadOwners, rand.IntN(loadEndpoints))
				n.Publish(savorystep.FactInFlight, subject, savorystep.InFlightFact{Count: savorystep.Slots(rand.IntN(6))})
				n.SetStatus(true, false, false, 0, 100+10*rand.Float64())
			}
		}
	}()
	return l
}

func (l *load) stop() {
	l.cancel()
	<-l.done
}

// groupOf returns the service of a subject of the load.
func groupOf(subject string) string {
	for i := range subject {
		if subject[i] == '/' {
			return subject[:i]
		}
	}
	return subject
}

func benchConfig(config *peer.Config) {
	config.SubjectGroup = groupOf
	config.Registry = &registry{}
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func usedMemory() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

func (f *fleet) totals() (sent, received, links float64) {
	for _, n := range f.nodes {
		stats := n.Stats()
		sent += float64(stats.SentBytes)
		received += float64(stats.ReceivedBytes)
		links += float64(stats.Links)
	}
	return sent, received, links
}

// measureRevision publishes a revision at a random node. It returns the time
// until it is the latest revision at all nodes, and the time until all nodes
// have it as the revision in force at every member.
func (f *fleet) measureRevision(b *testing.B, revision savorystep.Revision) (knownAfter, inForceAfter time.Duration) {
	b.Helper()
	start := time.Now()
	origin := f.nodes[rand.IntN(len(f.nodes))]
	origin.Publish(savorystep.FactRevision, "", savorystep.RevisionFact{Revision: revision})
	pending := slices.Clone(f.nodes)
	eventually(b, "revision known to all nodes", func() bool {
		pending = slices.DeleteFunc(pending, func(n *node) bool {
			if n.LatestRevision() < revision {
				return false
			}
			// The revision comes into force at a node as soon as it arrives
			// there.
			n.Publish(savorystep.FactRevision, "", savorystep.RevisionFact{Revision: revision})
			return true
		})
		return len(pending) == 0
	})
	knownAfter = time.Since(start)
	pending = slices.Clone(f.nodes)
	eventually(b, "revision known to be in force at all nodes", func() bool {
		pending = slices.DeleteFunc(pending, func(n *node) bool {
			for _, m := range n.Members(time.Now()) {
				if m.Revision < revision {
					return false
				}
			}
			return true
		})
		return len(pending) == 0
	})
	return knownAfter, time.Since(start)
}

// measureKill kills a random node and returns the time until all others have
// removed it from their members.
func (f *fleet) measureKill(b *testing.B) time.Duration {
	b.Helper()
	victim := f.nodes[rand.IntN(len(f.nodes))]
	id := victim.Self().ID
	start := time.Now()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		f.kill(victim)
	}()
	rest := slices.DeleteFunc(slices.Clone(f.nodes), func(n *node) bool { return n == victim })
	eventually(b, "killed node removed from members", func() bool {
		rest = slices.DeleteFunc(rest, func(n *node) bool {
			return !slices.ContainsFunc(n.Members(time.Now()), func(m savorystep.Member) bool { return m.Instance.ID == id })
		})
		return len(rest) == 0
	})
	took := time.Since(start)
	<-ended
	return took
}

func median(times []time.Duration) time.Duration {
	slices.Sort(times)
	return times[len(times)/2]
}

// A series holds the values of each metric by fleet size, for the fits.
type series map[string][]float64

var (
	fitSizes  []float64
	fitSeries = series{}
)

func (s series) report(b *testing.B, name string, value float64) {
	b.Helper()
	b.ReportMetric(value, name)
	s[name] = append(s[name], value)
}

// fit returns the slope and intercept of the least squares line.
func fit(x, y []float64) (slope, intercept float64) {
	n := float64(len(x))
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx += x[i]
		sy += y[i]
		sxx += x[i] * x[i]
		sxy += x[i] * y[i]
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return slope, (sy - slope*sx) / n
}

// BenchmarkFleet measures traffic, processor time, memory and dissemination
// times for each fleet size. Run it with -benchtime=1x.
func BenchmarkFleet(b *testing.B) {
	fitSizes, fitSeries = nil, series{}
	for _, size := range fleetSizes {
		b.Run("nodes="+strconv.Itoa(size), func(b *testing.B) {
			for b.Loop() {
				measureFleet(b, size)
			}
		})
	}
	logs := make([]float64, 0, len(fitSizes))
	for _, size := range fitSizes {
		logs = append(logs, math.Log2(size))
	}
	for name, values := range fitSeries {
		if len(values) != len(fitSizes) || len(values) < 2 {
			continue
		}
		slope, base := fit(fitSizes, values)
		logSlope, logBase := fit(logs, values)
		b.Logf("%-24s = %.4g + %.4g N = %.4g + %.4g log2 N", name, base, slope, logBase, logSlope)
	}
}

func measureFleet(b *testing.B, size int) {
	b.Helper()
	before := usedMemory()
	f := newFleet(b, size, benchConfig)
	joinTime := f.waitForFullMembership(b)
	l := startLoad(f)
	// The statuses of all nodes change when the load starts.
	time.Sleep(settleTime)

	sent, received, links := f.totals()
	cpuBefore, start := cpuTime(), time.Now()
	time.Sleep(10 * time.Second)
	wall := time.Since(start).Seconds()
	used := (cpuTime() - cpuBefore).Seconds()
	sentAfter, receivedAfter, _ := f.totals()

	n := float64(size)
	fitSizes = append(fitSizes, n)
	fitSeries.report(b, "sentB/s/node", (sentAfter-sent)/wall/n)
	fitSeries.report(b, "recvB/s/node", (receivedAfter-received)/wall/n)
	fitSeries.report(b, "links/node", links/n)
	fitSeries.report(b, "cpu%/node", 100*used/wall/n)
	fitSeries.report(b, "KiB/node", (usedMemory()-before)/n/1024)
	fitSeries.report(b, "join-s", joinTime.Seconds())

	const rounds = 7
	known := make([]time.Duration, 0, rounds)
	inForce := make([]time.Duration, 0, rounds)
	for i := range rounds {
		k, all := f.measureRevision(b, savorystep.Revision(i+1))
		known, inForce = append(known, k), append(inForce, all)
	}
	fitSeries.report(b, "rev-median-ms", float64(median(known).Milliseconds()))
	fitSeries.report(b, "rev-worst-ms", float64(slices.Max(known).Milliseconds()))
	fitSeries.report(b, "all-median-ms", float64(median(inForce).Milliseconds()))
	fitSeries.report(b, "all-worst-ms", float64(slices.Max(inForce).Milliseconds()))

	const kills = 3
	lost := make([]time.Duration, 0, kills)
	for range kills {
		lost = append(lost, f.measureKill(b))
		f.waitForFullMembership(b)
	}
	fitSeries.report(b, "kill-median-ms", float64(median(lost).Milliseconds()))
	fitSeries.report(b, "kill-worst-ms", float64(slices.Max(lost).Milliseconds()))
	l.stop()
	f.stop()
}

// BenchmarkReplace replaces a third of the nodes one by one and measures the
// time until all nodes have the new membership.
func BenchmarkReplace(b *testing.B) {
	for _, size := range []int{12, 48, 128} {
		b.Run("nodes="+strconv.Itoa(size), func(b *testing.B) {
			for b.Loop() {
				f := newFleet(b, size, benchConfig)
				f.waitForFullMembership(b)
				l := startLoad(f)
				sent, _, _ := f.totals()
				start := time.Now()
				for range size / 3 {
					victim := f.nodes[rand.IntN(len(f.nodes))]
					f.add(b)
					f.kill(victim)
				}
				replaced := time.Since(start)
				settled := f.waitForFullMembership(b)
				wall := time.Since(start).Seconds()
				after, _, _ := f.totals()
				b.ReportMetric(replaced.Seconds(), "replace-s")
				b.ReportMetric(settled.Seconds(), "settle-s")
				b.ReportMetric((after-sent)/wall/float64(size), "sentB/s/node")
				known, all := f.measureRevision(b, 1)
				b.ReportMetric(float64(known.Milliseconds()), "rev-ms")
				b.ReportMetric(float64(all.Milliseconds()), "all-ms")
				l.stop()
				f.stop()
			}
		})
	}
}

// BenchmarkPartition partitions the fleet into two halves for 10 s and measures
// the time until all nodes have the full membership again.
func BenchmarkPartition(b *testing.B) {
	for _, size := range []int{12, 48, 128} {
		b.Run("nodes="+strconv.Itoa(size), func(b *testing.B) {
			for b.Loop() {
				f := newFleet(b, size, benchConfig)
				f.waitForFullMembership(b)
				l := startLoad(f)
				left := make(map[string]bool)
				for i, n := range f.nodes {
					left[string(n.Self().PeerAddress)] = i < size/2
				}
				start := time.Now()
				f.network.partition(func(x, y string) bool { return left[x] != left[y] })
				apart := eventually(b, "partition detected", func() bool {
					for i, n := range f.nodes {
						want := size - size/2
						if i < size/2 {
							want = size / 2
						}
						if len(n.Members(time.Now())) != want {
							return false
						}
					}
					return true
				})
				time.Sleep(10*time.Second - time.Since(start))
				f.network.partition(func(string, string) bool { return false })
				rejoined := f.waitForFullMembership(b)
				b.ReportMetric(apart.Seconds(), "apart-s")
				b.ReportMetric(rejoined.Seconds(), "rejoin-s")
				known, all := f.measureRevision(b, 1)
				b.ReportMetric(float64(known.Milliseconds()), "rev-ms")
				b.ReportMetric(float64(all.Milliseconds()), "all-ms")
				l.stop()
				f.stop()
			}
		})
	}
}
