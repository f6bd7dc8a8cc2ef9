package endpoint_test

import (
	"fmt"
	"testing"
	"time"

	"savorystep"
	"savorystep/endpoint"
)

// BenchmarkChoose measures Choose and Finish with the endpoints of one service: 14
// as at corrente-limpa, 255 as at huon-foam-grown and 1,000, more than at either.
func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{14, 255, 1000} {
		b.Run(fmt.Sprintf("%d endpoints", count), func(b *testing.B) {
			now := time.Unix(1000, 0)
			table := endpoint.NewTable(endpoint.Config{Self: "self", ColdFactor: 1.5, ColdSlack: 5, RetryWindow: 10 * time.Second})
			for i := range count {
				id := savorystep.EndpointID(fmt.Sprint("endpoint-", i))
				table.Put(now, savorystep.Endpoint{ID: id, Service: "s", State: savorystep.StateLive, Slots: 3, ReportSequence: 1, Address: savorystep.Address(id)})
			}
			b.ReportAllocs()
			for n := range uint64(b.N) {
				choice, ok := table.Choose(now, endpoint.Query{Service: "s", AffinityKey: n * 0x9e3779b97f4a7c15, TimeLeft: time.Second})
				if !ok {
					b.Fatal("Choose returned no endpoint")
				}
				now = now.Add(time.Millisecond)
				table.Finish(now, choice, endpoint.OutcomeAnswered, &endpoint.Load{Running: 1, Slots: 3})
			}
		})
	}
}

// BenchmarkChooseRateLimited measures Choose when all endpoints of a service state a
// rate limit, with the endpoints and instances of corrente-limpa and of
// corrente-limpa-large.
func BenchmarkChooseRateLimited(b *testing.B) {
	for _, size := range []struct{ endpoints, instances int }{{14, 8}, {777, 295}} {
		b.Run(fmt.Sprintf("%d endpoints, %d instances", size.endpoints, size.instances), func(b *testing.B) {
			start := time.Unix(1000, 0)
			table := endpoint.NewTable(endpoint.Config{Self: "instance-0", ColdFactor: 1.5, ColdSlack: 5, RetryWindow: 10 * time.Second})
			var instances []savorystep.InstanceID
			for i := range size.instances {
				instances = append(instances, savorystep.InstanceID(fmt.Sprint("instance-", i)))
			}
			for i := range size.endpoints {
				id := savorystep.EndpointID(fmt.Sprint("endpoint-", i))
				table.Put(start, savorystep.Endpoint{ID: id, Service: "s", State: savorystep.StateLive, Slots: 3, ReportSequence: 1, Address: savorystep.Address(id)})
			}
			table.SetInstances(start, instances)
			now := start.Add(10 * time.Second)
			for i := range size.endpoints {
				table.ApplyRateLimit(now, savorystep.EndpointID(fmt.Sprint("endpoint-", i)), 0, endpoint.RateLimitStatement{IsLimited: true, Rate: 4.4})
			}
			b.ReportAllocs()
			for n := range uint64(b.N) {
				choice, ok := table.Choose(now, endpoint.Query{Service: "s", AffinityKey: n * 0x9e3779b97f4a7c15, TimeLeft: time.Second})
				if ok {
					table.Finish(now, choice, endpoint.OutcomeAnswered, nil)
				}
				now = now.Add(time.Microsecond)
			}
		})
	}
}
