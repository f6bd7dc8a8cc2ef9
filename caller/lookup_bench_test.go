package caller_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"syscall"
	"testing"
	"time"

	"savorystep"
	"savorystep/caller"
	"savorystep/upstream"
)

// newFleetResolver returns a resolver for the given numbers of members, sites and
// blocks, with its services and blocks. A site is one service in one region.
func newFleetResolver(members, sites, blocks int) (*caller.Resolver, []savorystep.Service, []savorystep.Block) {
	const regions = 10
	region := func(i int) savorystep.Region { return savorystep.Region(fmt.Sprintf("r%d", i%regions)) }
	var records []savorystep.Record
	var services []savorystep.Service
	shares := make([]savorystep.Share, 0, regions)
	loads := make([]savorystep.RegionLoad, 0, regions)
	for i := range regions {
		shares = append(shares, savorystep.Share{Region: region(i), Weight: 1})
		loads = append(loads, savorystep.RegionLoad{Region: region(i), Slots: 500, UsedSlots: 200, UsableEndpoints: 100, Endpoints: 100})
	}
	for i := range max(1, sites/regions) {
		service := savorystep.Service(fmt.Sprintf("service%02d", i))
		services = append(services, service)
		records = append(records, savorystep.Record{Service: service, Shares: shares})
	}
	all := make([]savorystep.Member, 0, members)
	for i := range members {
		all = append(all, newMember(fmt.Sprintf("m%04d", i), region(i), 1))
	}
	config := &fakeConfig{}
	config.set(1, records...)
	resolver := caller.NewResolver(caller.ResolverConfig{
		Config:    config,
		Endpoints: &fakeEndpoints{loads: loads},
		Members:   &fakeMembers{members: all},
		Steer:     upstream.Steer,
	})
	table := manyBlocks(blocks)
	resolver.SetBlocks(caller.NewBlockTable(table))
	return resolver, services, table
}

// BenchmarkLookup measures one lookup, from the IP address of the caller to the list of
// entries, for fleets of several sizes. The last one is the size that the system is
// designed for.
func BenchmarkLookup(b *testing.B) {
	for _, size := range []struct{ members, sites, blocks int }{
		{members: 12, sites: 12, blocks: 1000},
		{members: 150, sites: 50, blocks: 30000},
		{members: 600, sites: 150, blocks: 130000},
		{members: 2500, sites: 460, blocks: 530000},
	} {
		b.Run(fmt.Sprintf("members=%d/sites=%d/blocks=%d", size.members, size.sites, size.blocks), func(b *testing.B) {
			resolver, services, blocks := newFleetResolver(size.members, size.sites, size.blocks)
			random := rand.New(rand.NewPCG(5, 6))
			addrs := make([]netip.Addr, 4096)
			for i := range addrs {
				addrs[i] = blocks[random.IntN(len(blocks))].Prefix.Addr()
			}
			now := time.Unix(1000, 0)
			for _, service := range services {
				for i := range addrs {
					origin := resolver.Origin("", addrs[i])
					if _, _, err := resolver.Lookup(savorystep.Name(service), origin, now); err != nil {
						b.Fatal(err)
					}
				}
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				origin := resolver.Origin("", addrs[i&4095])
				name := savorystep.Name(services[i%len(services)])
				if _, _, err := resolver.Lookup(name, origin, now); err != nil {
					b.Fatal(err)
				}
				i++
			}
		})
	}
}

// newFleetRanker returns a ranker of the given number of members in ten regions.
func newFleetRanker(members int, refreshInterval time.Duration) *caller.EntryRanker {
	all := make([]savorystep.Member, 0, members)
	for i := range members {
		all = append(all, newMember(fmt.Sprintf("m%04d", i), savorystep.Region(fmt.Sprintf("r%d", i%10)), 1))
	}
	return caller.NewEntryRanker(caller.EntryRankerConfig{Members: &fakeMembers{members: all}, RefreshInterval: refreshInterval})
}

// BenchmarkRanking measures one ranking of all members for a site. Rankings are computed
// again when the set of eligible members has changed.
func BenchmarkRanking(b *testing.B) {
	for _, members := range []int{12, 150, 600, 2500} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			ranker := newFleetRanker(members, time.Hour)
			now := time.Unix(1000, 0)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				service := savorystep.Service(fmt.Sprintf("s%d", i))
				ranker.Entries(service, "r1", 10, 0, now)
				i++
			}
		})
	}
}

// BenchmarkBlockTableMemory reports the heap size of a block table in bytes.
func BenchmarkBlockTableMemory(b *testing.B) {
	for _, count := range []int{30000, 130000, 530000} {
		b.Run(fmt.Sprintf("blocks=%d", count), func(b *testing.B) {
			blocks := manyBlocks(count)
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				table := caller.NewBlockTable(blocks)
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(table)
			}
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "heap-bytes")
		})
	}
}

// BenchmarkRankerRefresh measures the selection of the eligible members, which happens
// ten times per second under load.
func BenchmarkRankerRefresh(b *testing.B) {
	for _, members := range []int{12, 150, 600, 2500} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			ranker := newFleetRanker(members, time.Nanosecond)
			now := time.Unix(1000, 0)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				ranker.Entries("status", "r1", 10, 0, now)
			}
		})
	}
}

// BenchmarkLookupHTTP measures lookups over HTTP keep-alive connections on loopback,
// including the cost of the client.
func BenchmarkLookupHTTP(b *testing.B) {
	server := httptest.NewServer(newServer(echo, nil).Handler())
	defer server.Close()
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	client := &http.Client{Transport: transport}
	defer transport.CloseIdleConnections()
	b.ReportAllocs()
	before := cpuTime(b)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			request, err := http.NewRequestWithContext(b.Context(), http.MethodGet, server.URL+"/v1/lookup?name=status&from=natal", http.NoBody)
			if err != nil {
				b.Error(err)
				return
			}
			response, err := client.Do(request)
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
	})
	b.ReportMetric(float64((cpuTime(b)-before).Microseconds())/float64(b.N), "cpu-us/op")
}

// cpuTime returns the user and system CPU time of this process.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
