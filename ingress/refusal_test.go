package ingress_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"savorystep"
	"savorystep/http1"
	"savorystep/ingress"
)

// A repeatingEndpoint writes a refusal once more on a connection that has carried an
// exchange, before it runs and answers the request that has arrived meanwhile.
type repeatingEndpoint struct {
	refusal string
	pool    *http1.Pool
	address savorystep.Address

	mu sync.Mutex
	// runs counts the runs of each attempt.
	runs map[string]int
}

var _ ingress.Transport = &repeatingEndpoint{}

// startRepeatingEndpoint starts an endpoint that stands for all endpoints of a test.
func startRepeatingEndpoint(t *testing.T, refusal string) *repeatingEndpoint {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	e := &repeatingEndpoint{refusal: refusal, pool: newPool(), address: savorystep.Address(listener.Addr().String()), runs: make(map[string]int)}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	return e
}

// serve serves a connection until the proxy closes it.
func (e *repeatingEndpoint) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for isFirst := true; ; isFirst = false {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !isFirst {
			if _, err := c.Write([]byte(e.refusal)); err != nil {
				return
			}
		}
		id := r.Header.Get("Attempt")
		e.mu.Lock()
		e.runs[id]++
		e.mu.Unlock()
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt: %s\r\nSignature: s\r\nContent-Length: 4\r\n\r\nbody", id)
	}
}

func (e *repeatingEndpoint) Exchange(ctx context.Context, target savorystep.Endpoint, request *http1.Request) (*http1.Response, error) {
	target.Address = e.address
	return e.pool.Exchange(ctx, target, request)
}

// runCount returns how often an attempt ran.
func (e *repeatingEndpoint) runCount(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

// TestRepeatedRefusal guards against a repeated refusal of an earlier request that
// is taken for the response to the request in flight. That request was run at a
// second endpoint, or its caller was told that it had not run.
func TestRepeatedRefusal(t *testing.T) {
	for _, test := range []struct{ name, refusal string }{
		{name: "misdirected", refusal: "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"},
		{name: "misdirected with earlier id", refusal: "HTTP/1.1 421 Misdirected Request\r\nAttempt: 0\r\nContent-Length: 0\r\n\r\n"},
		{name: "shed", refusal: "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"},
		{name: "shed in chunks", refusal: "HTTP/1.1 429 Too Many Requests\r\nNot-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n"},
		{name: "shed with earlier id", refusal: "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nAttempt: 0\r\nContent-Length: 0\r\n\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			transport := startRepeatingEndpoint(t, test.refusal)
			_, _, router := newTestProxy(t, "ok")
			router.SetRouting(savorystep.NewRouting(2, []*savorystep.Route{{
				Name: "once", Host: "h", Prefix: "/once/", Class: savorystep.RequestClassNonIdempotent,
				Split: []savorystep.WeightedService{{Service: "s", Weight: 1}}, Timeout: 10 * time.Second, MaxAttempts: 2,
			}}, map[savorystep.Service]savorystep.ServiceSpec{"s": {Name: "s"}}, savorystep.ClientLimits{}))
			proxy := ingress.NewProxy(ingress.ProxyConfig{
				Clock: savorystep.SystemClock{}, HeaderNames: names, Endings: ingress.NewEndings(&fakeFacts{}, router), Leavings: ingress.NewLeavings(&fakeFacts{}, router), Notices: noticeDecoder{}, Quarantine: ingress.NewQuarantine(&fakeFacts{}, nil), RateLimits: ingress.NewRateLimits(&fakeFacts{}, router),
				Place: savorystep.Place{Region: "r", Zone: "z"}, Transport: transport, Router: router,
			})
			reused := 0
			for n := range 20 {
				id := fmt.Sprint("attempt-", n)
				recorder := httptest.NewRecorder()
				r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "http://h/once/x", http.NoBody)
				r.RequestURI = "/once/x"
				r.Header.Set("Attempt", id)
				r.Header.Set("Deadline", "60000")
				proxy.ServeHTTP(recorder, r)
				if runs := transport.runCount(id); runs > 1 || recorder.Code != http.StatusOK {
					t.Errorf("status %d for %s, which ran %d times, want status 200 and one run: %s", recorder.Code, id, runs, recorder.Body)
				}
				reused = n + 1 - int(transport.pool.OpenedConnections()) //nolint:gosec // There are few connections.
			}
			if reused == 0 {
				t.Error("no connection was used again, so no refusal was repeated")
			}
		})
	}
}
