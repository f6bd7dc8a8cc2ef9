package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"savorystep"
	"savorystep/standin"
	"savorystep/upstream"
)

// addRawServer starts a server that passes each request on a connection to f,
// with its number on the connection and overall, until f returns false.
func (tb *testbed) addRawServer(f func(conn net.Conn, onConn, overall int) bool) {
	tb.t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(tb.t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		tb.t.Fatal(err)
	}
	var overall atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for n := 1; ; n++ {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					if request.URL.Path == "/load" {
						_, _ = io.WriteString(conn, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
						return
					}
					if !f(conn, n, int(overall.Add(1))) {
						return
					}
				}
			}()
		}
	}()
	tb.t.Cleanup(func() { _ = listener.Close() })
	tb.registry.set(savorystep.Endpoint{
		ID: "a", Service: testService, Place: savorystep.Place{Region: "natal", Zone: "natal-a"},
		State: savorystep.StateLive, Address: savorystep.Address(listener.Addr().String()), Slots: 3,
	})
}

// disableLoadPages prevents reads of load pages from using the connections
// under test.
func disableLoadPages(c *upstream.Config) { c.Limits.LoadPageInterval = -1 }

// writeRaw writes a response to a connection and reports whether it succeeded.
func writeRaw(conn net.Conn, response string) bool {
	_, err := io.WriteString(conn, response)
	return err == nil
}

const rawOK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// wantError fails the test unless err has the given kind.
func wantError(t *testing.T, err error, kind savorystep.Kind) {
	t.Helper()
	if savorystep.KindOf(err) != kind {
		t.Errorf("error %v, want kind %s", err, kind)
	}
}

// TestDialFailureNotExecuted guards against reporting an unsent request as one
// that may have been executed.
func TestDialFailureNotExecuted(t *testing.T) {
	tb := newTestbed(t)
	a := tb.addUpstream("a", "natal", standin.UpstreamConfig{})
	p := tb.newPool(nil)
	a.Crash()
	request := post("r1", "/echo")
	_, err := p.Forward(t.Context(), request)
	var failure *upstream.AttemptError
	wantError(t, err, savorystep.KindNoUpstream)
	if !errors.As(err, &failure) || failure.Sent || failure.Execution() != savorystep.NotExecuted {
		t.Errorf("failure %+v, want one of a request that was neither sent nor executed", failure)
	}
}

// TestNoTransportReplay guards against net/http sending a request again by
// itself when a kept-alive connection closes after the request was sent. The
// variant without the protection, a plain http.Transport, sends it twice.
func TestNoTransportReplay(t *testing.T) {
	cases := []struct {
		name   string
		method string
		key    savorystep.IdempotencyKey
	}{
		{name: "get", method: http.MethodGet},
		{name: "keyed get", method: http.MethodGet, key: "k"},
		{name: "keyed post", method: http.MethodPost, key: "k"},
		{name: "post", method: http.MethodPost},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tb := newTestbed(t)
			var requests atomic.Int64
			tb.addRawServer(func(conn net.Conn, onConn, _ int) bool {
				requests.Add(1)
				return onConn == 1 && writeRaw(conn, rawOK)
			})
			p := tb.newPool(disableLoadPages)
			response, err := p.Forward(t.Context(), get("r1", "/x"))
			if err != nil {
				t.Fatal(err)
			}
			readAll(t, response)
			request := get("r2", "/x")
			request.Method, request.IdempotencyKey, request.Idempotent = c.method, c.key, c.method == http.MethodGet
			_, err = p.Forward(t.Context(), request)
			if savorystep.KindOf(err).Info().Execution != savorystep.ExecutionUnknown {
				t.Errorf("error %v after a byte was sent, want one with unknown execution", err)
			}
			if requests.Load() != 2 {
				t.Errorf("%d requests arrived, want 2", requests.Load())
			}
		})
	}
	t.Run("variant without protection", func(t *testing.T) {
		tb := newTestbed(t)
		var requests atomic.Int64
		tb.addRawServer(func(conn net.Conn, onConn, _ int) bool {
			requests.Add(1)
			return onConn == 1 && writeRaw(conn, rawOK)
		})
		client := &http.Client{Transport: &http.Transport{}}
		for range 2 {
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+string(tb.registry.endpoints[0].Address)+"/x", nil)
			if err != nil {
				t.Fatal(err)
			}
			request.Header.Set(savorystep.HeaderKey, "k")
			response, err := client.Do(request)
			if err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
		}
		if requests.Load() < 3 {
			t.Errorf("%d requests arrived, want 3 or more: net/http no longer replays", requests.Load())
		}
	})
}

// TestUnsentOnClosedConnection guards against failing a request, or losing its
// body, when the kept-alive connection chosen for it closed before its first
// byte.
func TestUnsentOnClosedConnection(t *testing.T) {
	tb := newTestbed(t)
	var requests atomic.Int64
	closeNow := make(chan struct{})
	tb.addRawServer(func(conn net.Conn, _, overall int) bool {
		requests.Add(1)
		if !writeRaw(conn, rawOK) || overall > 1 {
			return false
		}
		<-closeNow
		return false
	})
	p := tb.newPool(disableLoadPages)
	response, err := p.Forward(t.Context(), get("r1", "/x"))
	if err != nil {
		t.Fatal(err)
	}
	readAll(t, response)
	close(closeNow)
	request := post("r2", "/x")
	request.Body, request.BodyLength = strings.NewReader("body"), 4
	response, err = p.Forward(t.Context(), request)
	if err != nil {
		// The connection may have closed just after the first byte.
		if savorystep.KindOf(err).Info().Execution == savorystep.NotExecuted {
			t.Errorf("error %v, want one with unknown execution", err)
		}
		return
	}
	readAll(t, response)
	if requests.Load() != 2 {
		t.Errorf("%d requests arrived, want 2", requests.Load())
	}
}

// TestPartialResponses guards against taking a part of a response for the whole
// when the connection closes before the last chunk or the announced length, or
// when the response has neither, so that its end cannot be recognized.
func TestPartialResponses(t *testing.T) {
	cases := []struct{ name, response string }{
		{name: "chunks end early", response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"},
		{name: "length ends early", response: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"},
		{name: "no length", response: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tb := newTestbed(t)
			tb.addRawServer(func(conn net.Conn, _, _ int) bool { return writeRaw(conn, c.response) && false })
			p := tb.newPool(disableLoadPages)
			response, err := p.Forward(t.Context(), get("r1", "/x"))
			if err == nil {
				_, err = io.ReadAll(response.Body)
				_ = response.Body.Close()
			}
			wantError(t, err, savorystep.KindUpstreamFailed)
		})
	}
}

// TestTruncatedResponse guards against taking a truncated response of a fake
// upstream for the whole, and against a slot that it does not release.
func TestTruncatedResponse(t *testing.T) {
	tb := newTestbed(t)
	a := tb.addUpstream("a", "natal", standin.UpstreamConfig{})
	p := tb.newPool(nil)
	a.SetFaults(standin.UpstreamFaults{Truncate: true})
	response, err := p.Forward(t.Context(), get("r1", "/size/100000"))
	if err == nil {
		_, err = io.ReadAll(response.Body)
	}
	wantError(t, err, savorystep.KindUpstreamFailed)
	if used := p.RegionLoads(testService, time.Now())[0].UsedSlots; used != 0 {
		t.Errorf("%d slots used, want 0", used)
	}
}

// TestCallerCancels guards against an idempotent request that continues without
// its caller, and against cancelling an at-most-once request.
func TestCallerCancels(t *testing.T) {
	cases := []struct {
		name          string
		request       *savorystep.Request
		wantCancelled int
	}{
		{name: "idempotent", request: get("r1", "/echo"), wantCancelled: 1},
		{name: "not idempotent", request: post("r1", "/echo"), wantCancelled: 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tb := newTestbed(t)
			a := tb.addUpstream("a", "natal", standin.UpstreamConfig{})
			a.SetFaults(standin.UpstreamFaults{Hold: true})
			p := tb.newPool(nil)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go func() {
				tb.eventually("the request runs", func() bool { return a.Stats().RunsByRequest["r1"] == 1 })
				cancel()
			}()
			_, err := p.Forward(ctx, c.request)
			wantError(t, err, savorystep.KindDeadlineExceeded)
			if c.wantCancelled == 0 {
				a.SetFaults(standin.UpstreamFaults{})
			}
			tb.eventually("the slot is free", func() bool { return p.RegionLoads(testService, time.Now())[0].UsedSlots == 0 })
			tb.eventually("the run ends", func() bool { return a.Load().Busy == 0 })
			if got := a.Stats().Cancelled; got != c.wantCancelled {
				t.Errorf("%d runs cancelled, want %d", got, c.wantCancelled)
			}
		})
	}
}

// TestDeadlinePropagates guards against an upstream that works past the
// deadline of a request.
func TestDeadlinePropagates(t *testing.T) {
	tb := newTestbed(t)
	a := tb.addUpstream("a", "natal", standin.UpstreamConfig{})
	p := tb.newPool(nil)
	a.SetFaults(standin.UpstreamFaults{Hold: true})
	request := get("r1", "/echo")
	request.Deadline = time.Now().Add(300 * time.Millisecond)
	response, err := p.Forward(t.Context(), request)
	switch {
	case err == nil:
		// The upstream detected the deadline first.
		if response.Status != http.StatusGatewayTimeout {
			t.Errorf("status %d, want 504", response.Status)
		}
		_ = response.Body.Close()
	case savorystep.KindOf(err).Info().Execution != savorystep.ExecutionUnknown && a.Stats().Total != 0:
		t.Errorf("error %v of a request that ran, want one with unknown execution", err)
	}
	tb.eventually("the run is cancelled", func() bool { return a.Load().Busy == 0 })
}

// TestBrokenUpload guards against counting a failure of the endpoint, or
// treating the upload as complete, when the caller stops sending the body.
func TestBrokenUpload(t *testing.T) {
	tb := newTestbed(t)
	a := tb.addUpstream("a", "natal", standin.UpstreamConfig{})
	p := tb.newPool(func(c *upstream.Config) { c.Limits.Health.ConsecutiveFailures = 1 })
	retrier := upstream.NewRetrier(p, upstream.RetrierConfig{})
	request := get("r1", "/echo")
	request.Method = http.MethodPut
	request.Body, request.BodyLength = io.MultiReader(strings.NewReader(strings.Repeat("x", 200_000)), brokenReader{}), 400_000
	_, err := retrier.Forward(t.Context(), request)
	wantError(t, err, savorystep.KindUpstreamFailed)
	if usable := p.RegionLoads(testService, time.Now())[0].UsableEndpoints; usable != 1 {
		t.Error("the endpoint was ejected")
	}
	tb.eventually("the endpoint is idle", func() bool { return a.Load().Busy == 0 })
	if runs := tb.runsOf("r1"); runs > 1 {
		t.Errorf("%d runs, want at most 1", runs)
	}
}

// A brokenReader fails like the body of a caller that has gone.
type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// TestShed guards against passing on a shed request as a response or reporting
// it as executed.
func TestShed(t *testing.T) {
	tb := newTestbed(t)
	a := tb.addUpstream("a", "natal", standin.UpstreamConfig{})
	p := tb.newPool(nil)
	a.SetFaults(standin.UpstreamFaults{Shed: true})
	_, err := p.Forward(t.Context(), post("r1", "/echo"))
	wantError(t, err, savorystep.KindOverloaded)
	if tb.runsOf("r1") != 0 {
		t.Error("a shed request ran")
	}
}
