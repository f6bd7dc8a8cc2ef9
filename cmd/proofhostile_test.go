package cmd

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"savorystep"
)

// hostileConn opens a connection to the callers' listener.
func hostileConn(t *testing.T, address savorystep.Address) net.Conn {
	t.Helper()
	var dialer net.Dialer
	conn, err := dialer.DialContext(t.Context(), "tcp", string(address))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(60 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return conn
}

// exchangeRaw sends bytes and returns what comes back until the end.
func exchangeRaw(t *testing.T, address savorystep.Address, input io.Reader) string {
	t.Helper()
	conn := hostileConn(t, address)
	go func() { _, _ = io.Copy(conn, input) }()
	output, err := io.ReadAll(conn)
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		t.Error("the connection was not ended")
	}
	return string(output)
}

// startHostile starts one entry with a service that answers good requests.
func startHostile(t *testing.T) (p *proofSystem, load *proofLoad) {
	t.Helper()
	p = startProof(t, proofConfig{Entries: 1, Endpoints: 3, Services: []savorystep.Service{"status"}})
	p.apply(p.record("status", proofRegions...))
	load = p.startLoad(2, func(worker, n int) proofRequest {
		return proofRequest{
			method: http.MethodGet, path: "/x", service: "status", from: "recife",
			id: savorystep.RequestID(fmt.Sprintf("good-%d-%d", worker, n)), timeout: 30 * time.Second,
		}
	})
	p.await("good requests", func() bool { return load.answered.Load() > 10 })
	return p, load
}

// finishHostile checks that good requests were answered.
func finishHostile(t *testing.T, p *proofSystem, load *proofLoad) {
	t.Helper()
	before := load.answered.Load()
	p.await("good requests", func() bool { return load.answered.Load() > before+10 })
	load.finish()
	memory := peakMemory(t, p.entries[0])
	t.Logf("%d good requests answered, %d not: %v; the entry's memory was at most %d MiB", load.answered.Load(), load.failed.Load(), load.kinds, memory>>20)
	if load.failed.Load() > 0 {
		t.Error("good requests failed")
	}
	if memory > proofMemory {
		t.Errorf("the entry's memory passed %d MiB", proofMemory>>20)
	}
}

// TestProofHostileBytes guards against an entry that breaks or uses up its
// memory on malformed input from callers.
func TestProofHostileBytes(t *testing.T) {
	t.Parallel()
	p, load := startHostile(t)
	address := p.caller(0)
	head := "GET /s/status/x HTTP/1.1\r\nHost: a\r\n"
	endless := io.MultiReader(strings.NewReader(head), io.LimitReader(&repeatReader{text: "X-A: b\r\n"}, 64<<20))
	cases := []struct {
		name  string
		input io.Reader
		want  string
	}{
		{name: "bad length", input: strings.NewReader("POST /s/status/x HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n"), want: "HTTP/1.1 400"},
		{name: "both lengths", input: strings.NewReader("POST /s/status/x HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 5\r\nTransfer-Encoding: nothing\r\n\r\nhello"), want: "HTTP/1.1 501"},
		{name: "endless headers", input: endless, want: "HTTP/1.1 431"},
		{name: "garbage", input: bytes.NewReader(bytes.Repeat([]byte{0, 1, 0xff, '\n'}, 5000)), want: "HTTP/1.1 400"},
		{name: "large body", input: strings.NewReader("PUT /s/status/x HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 99999999999\r\n\r\n"), want: "HTTP/1.1 413"},
		{name: "large header", input: strings.NewReader(head + "X-A: " + strings.Repeat("a", 64<<10) + "\r\n\r\n"), want: "HTTP/1.1 431"},
	}
	for _, c := range cases {
		output := exchangeRaw(t, address, c.input)
		first, _, _ := strings.Cut(output, "\r\n")
		t.Logf("%s: %q", c.name, first)
		if first != "" && !strings.HasPrefix(first, c.want) {
			t.Errorf("%s: got %q, want %q", c.name, first, c.want)
		}
	}
	finishHostile(t, p, load)
}

// A repeatReader repeats a text.
type repeatReader struct {
	text string
	at   int
}

// Read fills b.
func (r *repeatReader) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = r.text[r.at%len(r.text)]
		r.at++
	}
	return len(b), nil
}

// TestProofHostileConnections guards against callers that hold connections
// open, silent or in the middle of a body.
func TestProofHostileConnections(t *testing.T) {
	t.Parallel()
	p, load := startHostile(t)
	address := p.caller(0)
	for range 500 {
		hostileConn(t, address)
	}
	for range 50 {
		conn := hostileConn(t, address)
		if _, err := conn.Write([]byte("PUT /s/status/x HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\nslow")); err != nil {
			t.Fatal(err)
		}
	}
	finishHostile(t, p, load)
}

// TestProofHostileLookups guards against a flood of lookups that holds up
// requests.
func TestProofHostileLookups(t *testing.T) {
	t.Parallel()
	p, load := startHostile(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	transport := &http.Transport{MaxIdleConnsPerHost: 8}
	t.Cleanup(transport.CloseIdleConnections)
	var answered, refused atomic.Int64
	const count = 20_000
	done := make(chan struct{}, 8)
	for worker := range 8 {
		go func() {
			defer func() { done <- struct{}{} }()
			for n := worker; n < count; n += 8 {
				request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/v1/lookup?name=status&from=recife", p.caller(0)), http.NoBody)
				if err != nil {
					return
				}
				response, err := transport.RoundTrip(request)
				if err != nil {
					continue
				}
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				switch response.Header.Get(savorystep.HeaderKind) {
				case "":
					answered.Add(1)
				case savorystep.KindOverloaded.String():
					refused.Add(1)
				default:
					t.Errorf("a lookup was refused with %s", response.Header.Get(savorystep.HeaderKind))
				}
			}
		}()
	}
	for range 8 {
		<-done
	}
	t.Logf("%d lookups answered, %d refused", answered.Load(), refused.Load())
	if answered.Load()+refused.Load() != count || answered.Load() == 0 {
		t.Error("lookups were lost")
	}
	finishHostile(t, p, load)
}

// TestProofOperatorPaths guards against operators' paths on the callers'
// listener, and against changes without the right token.
func TestProofOperatorPaths(t *testing.T) {
	t.Parallel()
	p, load := startHostile(t)
	defer finishHostile(t, p, load)
	status := func(address savorystep.Address, method, path, token string) int {
		request, err := http.NewRequestWithContext(t.Context(), method, "http://"+string(address)+path, strings.NewReader("{}"))
		if err != nil {
			t.Fatal(err)
		}
		if token != "" {
			request.Header.Set("Authorization", "Bearer "+token)
		}
		response, err := proofTransport.RoundTrip(request)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		return response.StatusCode
	}
	paths := map[string]string{
		"/metrics": http.MethodGet, "/v1/apply": http.MethodPost, "/v1/correct": http.MethodPost, "/v1/drain": http.MethodPost, "/v1/events": http.MethodGet,
		"/v1/history": http.MethodGet, "/v1/records": http.MethodGet, "/v1/shift": http.MethodPost, "/v1/status": http.MethodGet, "/v1/undo": http.MethodPost,
	}
	for path, method := range paths {
		if got := status(p.caller(0), method, path, "process-test-token"); got != http.StatusNotFound {
			t.Errorf("%s on the callers' listener: status %d", path, got)
		}
		for _, token := range []string{"", "process-test-tokem", "process-test-token-and-more"} {
			if got := status(p.settings[0].OperatorAddress, method, path, token); got != http.StatusUnauthorized {
				t.Errorf("%s with token %q: status %d", path, token, got)
			}
		}
	}
	if got := status(p.settings[0].OperatorAddress, http.MethodGet, "/v1/status", "process-test-token"); got != http.StatusOK {
		t.Errorf("/v1/status with the right token: status %d", got)
	}
}
