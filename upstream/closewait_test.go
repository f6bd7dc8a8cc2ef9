package upstream_test

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"savorystep"
	"savorystep/upstream"
)

// limitedGet returns an idempotent request that needs the only permit of a region.
func limitedGet(id savorystep.RequestID) *savorystep.Request {
	request := get(id, "/x")
	request.Record.InFlightLimits = map[savorystep.Region]savorystep.Slots{"natal": 1}
	return request
}

// limitedRegion is the budget of limitedGet.
var limitedRegion = savorystep.RegionBudget(testService, "natal")

// A deafServer notices the close of its first connection only once the test allows it.
type deafServer struct {
	// arrived is closed when the first request runs.
	arrived chan struct{}
	// notice lets the server close the connection of the first request.
	notice chan struct{}
}

// addDeafServer starts a server that writes the beginning of a response to the first
// request, and answers all others.
func (tb *testbed) addDeafServer(beginning string) *deafServer {
	tb.t.Helper()
	s := &deafServer{arrived: make(chan struct{}), notice: make(chan struct{})}
	tb.addRawServer(func(conn net.Conn, _, overall int) bool {
		if overall > 1 {
			return writeRaw(conn, rawOK)
		}
		close(s.arrived)
		if beginning != "" {
			writeRaw(conn, beginning)
		}
		<-s.notice
		return false
	})
	return s
}

// TestAbandonedRequestKeepsPermit guards against a cap that is exceeded because a request
// that was given up returns its permit and slot while its endpoint still runs it.
func TestAbandonedRequestKeepsPermit(t *testing.T) {
	for _, test := range []struct {
		name, beginning string
		// abandon gives up the request of a caller that gets the given response, if any.
		abandon func(t *testing.T, cancel context.CancelFunc, response <-chan *savorystep.Response)
	}{
		{name: "before the response", abandon: func(t *testing.T, cancel context.CancelFunc, response <-chan *savorystep.Response) {
			t.Helper()
			cancel()
			if r := <-response; r != nil {
				t.Errorf("cancelled request got a response with status %d", r.Status)
			}
		}},
		{name: "in the body", beginning: "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart", abandon: func(t *testing.T, _ context.CancelFunc, response <-chan *savorystep.Response) {
			t.Helper()
			r := <-response
			if r == nil {
				t.Fatal("no response")
			}
			if _, err := io.ReadFull(r.Body, make([]byte, 4)); err != nil {
				t.Error(err)
			}
			_ = r.Body.Close()
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			tb := newTestbed(t)
			server := tb.addDeafServer(test.beginning)
			budgets := &fakeBudgets{}
			p := tb.newPool(func(config *upstream.Config) {
				config.Budgets = budgets
				config.Limits.LoadPageInterval = -1
				config.Limits.CloseTimeout = time.Hour
			})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			response := make(chan *savorystep.Response, 1)
			go func() {
				r, _ := p.Forward(ctx, limitedGet("r1"))
				response <- r
			}()
			<-server.arrived
			test.abandon(t, cancel, response)
			if used := budgets.inUse(limitedRegion); used != 1 {
				t.Errorf("%d permits in use while the endpoint runs the request, want 1", used)
			}
			if used := p.RegionLoads(testService, time.Now())[0].UsedSlots; used != 1 {
				t.Errorf("%d slots in use while the endpoint runs the request, want 1", used)
			}
			if _, err := p.Forward(t.Context(), limitedGet("r2")); savorystep.KindOf(err) != savorystep.KindCapReached {
				t.Errorf("error %v while the endpoint runs as many requests as the cap allows, want kind CapReached", err)
			}
			close(server.notice)
			tb.eventually("the permit and the slot are released", func() bool {
				return budgets.inUse(limitedRegion) == 0 && p.RegionLoads(testService, time.Now())[0].UsedSlots == 0
			})
			r, err := p.Forward(t.Context(), limitedGet("r3"))
			if err != nil {
				t.Fatal(err)
			}
			readAll(t, r)
		})
	}
}

// A plainConn is a connection whose sending side can't be closed alone, and which has no
// deadlines.
type plainConn struct{ net.Conn }

func (plainConn) SetDeadline(time.Time) error { return nil }

func (plainConn) SetReadDeadline(time.Time) error { return nil }

// TestAbandonedRequestIsClosed guards against an endpoint that can't notice that a request
// was given up, because its connection stays open.
func TestAbandonedRequestIsClosed(t *testing.T) {
	for _, test := range []struct {
		name     string
		wrapConn func(c net.Conn, address string) net.Conn
	}{
		{name: "TCP"},
		{name: "connection without CloseWrite and deadlines", wrapConn: func(c net.Conn, _ string) net.Conn { return plainConn{c} }},
	} {
		t.Run(test.name, func(t *testing.T) {
			tb := newTestbed(t)
			arrived, closed := make(chan struct{}), make(chan struct{})
			tb.addRawServer(func(conn net.Conn, _, _ int) bool {
				close(arrived)
				_, _ = conn.Read(make([]byte, 1))
				close(closed)
				return false
			})
			p := tb.newPool(func(config *upstream.Config) {
				config.WrapConn = test.wrapConn
				config.Limits.LoadPageInterval = -1
				config.Limits.CloseTimeout = 20 * time.Millisecond
			})
			ctx, cancel := context.WithCancel(t.Context())
			go func() {
				<-arrived
				cancel()
			}()
			_, err := p.Forward(ctx, get("r1", "/x"))
			wantError(t, err, savorystep.KindDeadlineExceeded)
			select {
			case <-closed:
			case <-time.After(testTimeout):
				t.Error("the endpoint has not seen the end of the connection")
			}
		})
	}
}

// TestUnnoticedCloseReleasesPermit guards against permits and slots that are lost for good
// because an endpoint never notices that a request was given up.
func TestUnnoticedCloseReleasesPermit(t *testing.T) {
	for _, test := range []struct {
		name, beginning string
		wrapConn        func(c net.Conn, address string) net.Conn
	}{
		{name: "endpoint stands still"},
		{name: "endpoint sends on", beginning: "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" + strings.Repeat("x", 200_000)},
		{name: "connection without CloseWrite", wrapConn: func(c net.Conn, _ string) net.Conn { return plainConn{c} }},
	} {
		t.Run(test.name, func(t *testing.T) {
			tb := newTestbed(t)
			server := tb.addDeafServer(test.beginning)
			defer close(server.notice)
			budgets := &fakeBudgets{}
			p := tb.newPool(func(config *upstream.Config) {
				config.Budgets = budgets
				config.WrapConn = test.wrapConn
				config.Limits.LoadPageInterval = -1
				config.Limits.CloseTimeout = 20 * time.Millisecond
			})
			ctx, cancel := context.WithCancel(t.Context())
			go func() {
				<-server.arrived
				cancel()
			}()
			if r, err := p.Forward(ctx, limitedGet("r1")); err == nil {
				_ = r.Body.Close()
			}
			tb.eventually("the permit and the slot are released", func() bool {
				return budgets.inUse(limitedRegion) == 0 && p.RegionLoads(testService, time.Now())[0].UsedSlots == 0
			})
		})
	}
}
