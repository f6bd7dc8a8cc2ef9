package upstream_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"savorystep"
	"savorystep/upstream"
)

// A stalledEndpoint is an endpoint that answers /held, the two parts of /partial and its load
// page only once the test allows it.
type stalledEndpoint struct {
	heldArrived, partialArrived, loadArrived chan struct{}
	allowHeld, allowPart, allowLoad          chan struct{}
}

// startStalledEndpoint starts an endpoint and adds it to the testbed's registry.
func startStalledEndpoint(tb *testbed) *stalledEndpoint {
	s := &stalledEndpoint{
		heldArrived: make(chan struct{}, 1), partialArrived: make(chan struct{}, 1), loadArrived: make(chan struct{}, 1),
		allowHeld: make(chan struct{}), allowPart: make(chan struct{}), allowLoad: make(chan struct{}),
	}
	server := httptest.NewServer(s)
	tb.t.Cleanup(server.Close)
	tb.registry.set(savorystep.Endpoint{
		ID: "stalled", Service: testService, Place: savorystep.Place{Region: "natal", Zone: "natal-a"},
		State: savorystep.StateLive, Address: savorystep.Address(strings.TrimPrefix(server.URL, "http://")),
		Slots: 3, MaxConnections: 330,
	})
	return s
}

func (s *stalledEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/load":
		awaitPermission(r.Context(), s.loadArrived, s.allowLoad)
		_, _ = w.Write([]byte(`{"slots":3,"healthy":true}`))
	case "/held":
		awaitPermission(r.Context(), s.heldArrived, s.allowHeld)
		_, _ = w.Write([]byte("held"))
	case "/partial":
		awaitPermission(r.Context(), s.partialArrived, s.allowPart)
		_, _ = w.Write([]byte("part"))
		_ = http.NewResponseController(w).Flush()
		awaitPermission(r.Context(), s.heldArrived, s.allowHeld)
		_, _ = w.Write([]byte("rest"))
	default:
		_, _ = w.Write([]byte("ready"))
	}
}

// awaitPermission reports an arrival and waits until the test allows the answer.
func awaitPermission(ctx context.Context, arrived chan<- struct{}, allowed <-chan struct{}) {
	select {
	case arrived <- struct{}{}:
	default:
	}
	select {
	case <-allowed:
	case <-ctx.Done():
	}
}

// newHourlyPool returns a pool that reads load pages only to check connections, after an hour
// without progress, and ends a connection after five.
func newHourlyPool(tb *testbed, clock *jumpingClock) *upstream.Pool {
	return tb.newPool(func(config *upstream.Config) {
		config.Clock = clock
		config.Limits.LoadPageInterval = -1
		config.Limits.LoadPageTimeout = 24 * time.Hour
		config.Limits.OldConnProgressTimeout = time.Hour
		config.Limits.ProgressTimeout = 5 * time.Hour
	})
}

// awaitChecks waits until a pool has checked its connections.
func awaitChecks(tb *testbed, clock *jumpingClock) {
	calls := clock.calls.Load()
	tb.eventually("the connections are checked", func() bool { return clock.calls.Load() > calls+50 })
}

// advance moves a clock forward, in steps that are shorter than a standstill of the instance
// itself.
func advance(tb *testbed, clock *jumpingClock, d time.Duration) {
	for ; d > 0; d -= 20 * time.Minute {
		clock.ahead.Add(int64(20 * time.Minute))
		awaitChecks(tb, clock)
	}
}

// TestStalledEndpointIsNoSilentConnection guards against requests that are cancelled because
// their connections are taken for silent, although the whole endpoint stood still and answers
// them a moment after its load page.
func TestStalledEndpointIsNoSilentConnection(t *testing.T) {
	tests := []struct {
		name string
		// loadPageDelay is how long the endpoint holds its load page back, silentAfter how
		// long it answers nothing else after that.
		loadPageDelay, silentAfter time.Duration
		isCancelled                bool
	}{
		{name: "the endpoint stood still", loadPageDelay: 20 * time.Minute, silentAfter: 40 * time.Minute},
		{name: "the connection stays silent", loadPageDelay: 20 * time.Minute, silentAfter: 80 * time.Minute, isCancelled: true},
		{name: "the endpoint stood still until its load page was read"},
		{name: "the endpoint answers at once", silentAfter: 20 * time.Minute, isCancelled: true},
		{name: "silent for the whole progress timeout", loadPageDelay: 220 * time.Minute, silentAfter: 20 * time.Minute, isCancelled: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			tb := newTestbed(t)
			s := startStalledEndpoint(tb)
			clock := &jumpingClock{}
			p := newHourlyPool(tb, clock)
			results := make(chan forwardResult, 1)
			tb.forwardAsync(p, get("opens the connection", "/ready"), results)
			if result := <-results; result.err != nil {
				t.Fatal(result.err)
			}
			tb.forwardAsync(p, get("held", "/held"), results)
			<-s.heldArrived
			awaitChecks(tb, clock) // The write of the request counts as activity once it has returned.
			advance(tb, clock, 60*time.Minute)
			<-s.loadArrived
			advance(tb, clock, test.loadPageDelay)
			close(s.allowLoad)
			awaitChecks(tb, clock)
			advance(tb, clock, test.silentAfter)
			if !test.isCancelled {
				close(s.allowHeld)
			}
			switch result := <-results; {
			case test.isCancelled:
				wantError(t, result.err, savorystep.KindUpstreamFailed)
			case result.err != nil:
				t.Errorf("request to an endpoint that stood still: %v", result.err)
			}
		})
	}
}

// TestVerifiedBeforeSilence guards against a response that is cut off without a check of its
// connection, because a newer one returned a response before the silence began.
func TestVerifiedBeforeSilence(t *testing.T) {
	tb := newTestbed(t)
	s := startStalledEndpoint(tb)
	clock := &jumpingClock{}
	p := newHourlyPool(tb, clock)
	results := make(chan forwardResult, 1)
	tb.forwardAsync(p, get("opens the connection", "/ready"), results)
	if result := <-results; result.err != nil {
		t.Fatal(result.err)
	}
	started := make(chan error, 1)
	ended := make(chan error, 1)
	go func() {
		response, err := p.Forward(t.Context(), get("partial", "/partial"))
		if err == nil {
			_, err = io.ReadFull(response.Body, make([]byte, len("part")))
		}
		started <- err
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		ended <- err
	}()
	<-s.partialArrived
	awaitChecks(tb, clock)
	tb.forwardAsync(p, get("on a newer connection", "/ready"), results)
	if result := <-results; result.err != nil {
		t.Fatal(result.err)
	}
	clock.ahead.Add(int64(time.Minute))
	close(s.allowPart)
	if err := <-started; err != nil {
		t.Fatal(err)
	}
	awaitChecks(tb, clock)
	advance(tb, clock, 60*time.Minute)
	select {
	case <-s.loadArrived:
	case err := <-ended:
		t.Fatalf("the response ended with %v before its connection was checked", err)
	}
	close(s.allowLoad)
	close(s.allowHeld)
	if err := <-ended; err != nil {
		t.Errorf("response of an endpoint that stood still: %v", err)
	}
}
