package cmd

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"savorystep"
	"savorystep/entry"
	"savorystep/standin"
)

// A silentConn is a connection that can be made silent: it then accepts and drops
// what is written and delivers nothing, like one whose packets are lost.
type silentConn struct {
	net.Conn
	silent atomic.Bool
}

// Read implements net.Conn. A silent connection drops what it receives.
func (c *silentConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn. A silent connection drops what is written.
func (c *silentConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// A silentDialer opens connections and can make all of them silent.
type silentDialer struct {
	mu    sync.Mutex
	conns []*silentConn
}

// dial opens a connection that can be made silent.
func (d *silentDialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	wrapped := &silentConn{Conn: conn}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conns = append(d.conns, wrapped)
	return wrapped, nil
}

// silenceAll makes all open connections silent and returns their number.
func (d *silentDialer) silenceAll() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, conn := range d.conns {
		conn.silent.Store(true)
	}
	return len(d.conns)
}

// TestProofSilentUpstreams guards against requests that are lost on connections from
// an entry to its upstreams that became silent, while new connections work.
func TestProofSilentUpstreams(t *testing.T) {
	t.Parallel()
	p := startProofSystem(t, proofConfig{Entries: 2, EndpointsPerService: 6, Services: []savorystep.Service{"status"}})
	p.applyAndWait(p.equalSharesRecord("status", proofRegions...))
	load := p.startLoad(12, func(worker, n int) proofRequest {
		return proofRequest{
			method: http.MethodGet, path: "/x", service: "status", origin: "recife",
			id: savorystep.RequestID(fmt.Sprintf("silent-%d-%d", worker, n)), timeout: 30 * time.Second,
		}
	})
	p.await("more than 200 requests are answered", func() bool { return load.answered.Load() > 200 })
	for _, u := range p.endpoints {
		u.SetFaults(standin.UpstreamFaults{Silent: true})
	}
	begin := time.Now()
	answeredBefore := load.answered.Load()
	p.await("requests are answered again", func() bool { return load.answered.Load() > answeredBefore+12 })
	resumedAfter := time.Since(begin)
	p.await("500 requests are answered", func() bool { return load.answered.Load() > answeredBefore+500 })
	t.Logf("requests were answered again %v after all connections became silent, 500 after %v", resumedAfter, time.Since(begin))
	load.stopAndWait()
	t.Logf("%d requests failed: %v", load.failed.Load(), load.failuresByKind)
	// Requests on silent connections occupy slots until the entry detects the
	// silence, so a new request may be rejected as not executed.
	load.checkFailures(t, 0)
}

// TestProofSilentCallers guards against a caller that keeps using connections to
// entries that became silent.
func TestProofSilentCallers(t *testing.T) {
	t.Parallel()
	p := startProofSystem(t, proofConfig{Entries: 2, EndpointsPerService: 3, Services: []savorystep.Service{"status"}})
	p.applyAndWait(p.equalSharesRecord("status", proofRegions...))
	dialer := &silentDialer{}
	client := entry.NewClient(entry.ClientConfig{
		Clock: savorystep.SystemClock{}, Dial: dialer.dial, Origin: "recife", DefaultTimeout: 10 * time.Second,
		SeedAddresses: []savorystep.Address{p.settings[0].CallerAddress, p.settings[1].CallerAddress},
	})
	t.Cleanup(client.Close)
	send := func(round, count int) (failed int, longest time.Duration) {
		var mu sync.Mutex
		var running sync.WaitGroup
		for n := range count {
			running.Go(func() {
				begin := time.Now()
				_, err := client.Send(t.Context(), entry.Request{ID: savorystep.RequestID(fmt.Sprintf("caller-%d-%d", round, n)), Name: "status", Method: http.MethodGet, Path: "/slow/50"})
				mu.Lock()
				defer mu.Unlock()
				longest = max(longest, time.Since(begin))
				if err != nil {
					failed++
					t.Logf("round %d: %v", round, err)
				}
			})
		}
		running.Wait()
		return failed, longest
	}
	if failed, _ := send(0, 4); failed > 0 {
		t.Fatalf("%d of 4 requests failed before the fault, want none", failed)
	}
	silentCount := dialer.silenceAll()
	failed, longest := send(1, 4)
	t.Logf("%d connections became silent: %d of 4 requests failed, the longest took %v", silentCount, failed, longest)
	failedAfter, longestAfter := send(2, 20)
	t.Logf("then %d of 20 requests failed, the longest took %v", failedAfter, longestAfter)
	if failedAfter > 0 {
		t.Errorf("%d of 20 requests failed after the caller had noticed the silence, want none", failedAfter)
	}
}

// TestProofDrainFrozenList guards against new requests to a draining upstream while
// the platform's endpoint list does not change. Entries then learn of the drain only
// from the upstream's load page or from a peer.
func TestProofDrainFrozenList(t *testing.T) {
	t.Parallel()
	p := startProofSystem(t, proofConfig{Entries: 3, EndpointsPerService: 6, Services: []savorystep.Service{"status"}})
	p.applyAndWait(p.equalSharesRecord("status", proofRegions...))
	load := p.startLoad(9, func(worker, n int) proofRequest {
		return proofRequest{
			method: http.MethodGet, path: "/x", service: "status", origin: "recife",
			id: savorystep.RequestID(fmt.Sprintf("drain-%d-%d", worker, n)), timeout: 20 * time.Second,
		}
	})
	drainedUpstream := p.endpoints["status-0"]
	p.await("the endpoint has run more than 50 requests", func() bool { return drainedUpstream.Stats().Total > 50 })
	p.platform.SetFaults(standin.PlatformFaults{FreezeLists: true})
	drainedUpstream.SetFaults(standin.UpstreamFaults{Drain: true})
	time.Sleep(5 * time.Second)
	statsAfterGrace := drainedUpstream.Stats()
	answeredBefore := load.answered.Load()
	p.await("500 more requests are answered", func() bool { return load.answered.Load() > answeredBefore+500 })
	load.stopAndWait()
	if runs := drainedUpstream.Stats(); runs.RunsAfterDrain != statsAfterGrace.RunsAfterDrain {
		t.Errorf("%d requests arrived later than 5 s after the start of the drain, want none; the last after %d ms", runs.RunsAfterDrain-statsAfterGrace.RunsAfterDrain, runs.LastRunAfterDrainMillis)
	}
	t.Logf("%d requests arrived in the first 5 s of the drain, the last after %d ms; %d answered, %d failed: %v",
		statsAfterGrace.RunsAfterDrain, statsAfterGrace.LastRunAfterDrainMillis, load.answered.Load(), load.failed.Load(), load.failuresByKind)
	// Half of the region's slots are gone, so a request may be rejected as not
	// executed.
	load.checkFailures(t, 0)
}
