package store_test

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	"savorystep"
	"savorystep/standin"
	"savorystep/store"
)

// benchInstances is the number of entry instances of a site.
const benchInstances = 12

// benchWorkers is the number of concurrent keyed requests at each instance,
// enough that the platform's write rate is the bottleneck.
const benchWorkers = 512

// BenchmarkKeys measures the throughput of keyed requests through 12 instances
// and the HTTP stand-in of the platform at given write rates, and the table
// writes and reads per request. Each request is begun and completed once.
func BenchmarkKeys(b *testing.B) {
	for _, writes := range []float64{300, 500} {
		b.Run(fmt.Sprintf("writes=%.0f", writes), func(b *testing.B) {
			p, _ := startStandin(b, standin.PlatformFaults{MaxWritesPerSecond: writes, DelayMillis: 3})
			keyStores := make([]*store.IdempotencyStore, benchInstances)
			for i := range keyStores {
				client := newStandinClient(b, p)
				keyStores[i] = store.NewIdempotencyStore(store.IdempotencyStoreConfig{Table: client, Objects: client.Objects()})
				startRunner(b, keyStores[i])
			}
			var next, failed atomic.Int64
			before := p.Stats()
			b.ResetTimer()
			begin := time.Now()
			var group errgroup.Group
			for i := range benchInstances * benchWorkers {
				group.Go(func() error {
					for n := next.Add(1); n <= int64(b.N); n = next.Add(1) {
						if err := runKeyedRequest(keyStores[i%benchInstances], strconv.FormatInt(n, 10)); err != nil {
							failed.Add(1)
						}
					}
					return nil
				})
			}
			if err := group.Wait(); err != nil {
				b.Fatal(err)
			}
			b.StopTimer()
			after, n := p.Stats(), float64(b.N)
			b.ReportMetric((n-float64(failed.Load()))/time.Since(begin).Seconds(), "requests/s")
			b.ReportMetric(float64(after.Writes-before.Writes)/n, "writes/request")
			b.ReportMetric(float64(after.Reads-before.Reads)/n, "reads/request")
			b.ReportMetric(float64(after.Writes-before.Writes)/time.Since(begin).Seconds(), "writes/s")
			b.ReportMetric(float64(after.Refused-before.Refused)/time.Since(begin).Seconds(), "refused/s")
			b.ReportMetric(float64(failed.Load()), "failed")
		})
	}
}

// BenchmarkKeysOpen measures keyed requests at fixed rates over all instances
// and 500 writes per second, with the latency of Begin and Complete together.
// maxRate bounds the transactions per second of each instance; 0 means no
// bound.
func BenchmarkKeysOpen(b *testing.B) {
	for _, c := range []struct{ rate, maxRate float64 }{
		{rate: 60},
		{rate: 240},
		{rate: 1200},
		{rate: 4800},
		{rate: 60, maxRate: 25},
		{rate: 240, maxRate: 25},
		{rate: 1200, maxRate: 25},
		{rate: 4800, maxRate: 25},
	} {
		b.Run(fmt.Sprintf("requests=%.0f/most=%.0f", c.rate, c.maxRate), func(b *testing.B) {
			p, _ := startStandin(b, standin.PlatformFaults{MaxWritesPerSecond: 500, DelayMillis: 3})
			keyStores := make([]*store.IdempotencyStore, benchInstances)
			for i := range keyStores {
				client := newStandinClient(b, p)
				keyStores[i] = store.NewIdempotencyStore(store.IdempotencyStoreConfig{Table: client, Objects: client.Objects(), MaxTransactionRate: c.maxRate})
				startRunner(b, keyStores[i])
			}
			durations := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
			var mu sync.Mutex
			var failed atomic.Int64
			before, begin := p.Stats(), time.Now()
			var wait sync.WaitGroup
			for n := range b.N {
				time.Sleep(time.Until(begin.Add(time.Duration(float64(n) / c.rate * float64(time.Second)))))
				wait.Go(func() {
					called := time.Now()
					if err := runKeyedRequest(keyStores[n%benchInstances], strconv.Itoa(n)); err != nil {
						failed.Add(1)
					}
					mu.Lock()
					defer mu.Unlock()
					_ = durations.RecordValue(time.Since(called).Microseconds()) // No request takes longer than a minute.
				})
			}
			wait.Wait()
			after, n := p.Stats(), float64(b.N)
			b.ReportMetric(float64(after.Writes-before.Writes)/n, "writes/request")
			b.ReportMetric(float64(after.Refused-before.Refused)/time.Since(begin).Seconds(), "refused/s")
			b.ReportMetric(float64(durations.ValueAtQuantile(50))/1000, "p50-ms")
			b.ReportMetric(float64(durations.ValueAtQuantile(99))/1000, "p99-ms")
			b.ReportMetric(float64(failed.Load()), "failed")
		})
	}
}

// runKeyedRequest begins and completes a request with a short response.
func runKeyedRequest(keys *store.IdempotencyStore, key string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	attempt, err := keys.Begin(ctx, "orders", savorystep.IdempotencyKey(key), 1)
	if err != nil {
		return err
	}
	return attempt.Complete(ctx, savorystep.StoredResponse{Status: 200, Body: []byte("a renewal of one year")})
}
