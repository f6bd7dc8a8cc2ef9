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

// dialEntry opens a connection to the callers' listener of an entry. All reads and
// writes must end within 60 s.
func dialEntry(t *testing.T, address savorystep.Address) net.Conn {
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

// sendRaw opens a connection, sends bytes and returns what is received until the
// entry closes the connection.
func sendRaw(t *testing.T, address savorystep.Address, input io.Reader) string {
	t.Helper()
	conn := dialEntry(t, address)
	go func() { _, _ = io.Copy(conn, input) }()
	output, err := io.ReadAll(conn)
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		t.Error("the entry did not close the connection within 60 s")
	}
	return string(output)
}

// startHostileProof starts one entry, and a load of valid requests that must not
// suffer from the hostile input of the test.
func startHostileProof(t *testing.T) (p *proofSystem, load *proofLoad) {
	t.Helper()
	p = startProofSystem(t, proofConfig{Entries: 1, EndpointsPerService: 3, Services: []savorystep.Service{"status"}})
	p.applyAndWait(p.equalSharesRecord("status", proofRegions...))
	load = p.startLoad(2, func(worker, n int) proofRequest {
		return proofRequest{
			method: http.MethodGet, path: "/x", service: "status", origin: "recife",
			id: savorystep.RequestID(fmt.Sprintf("good-%d-%d", worker, n)), timeout: 30 * time.Second,
		}
	})
	p.await("more than 10 valid requests are answered", func() bool { return load.answered.Load() > 10 })
	return p, load
}

// finishHostileProof checks that valid requests are still answered, that none
// failed, and that the entry's memory stayed within its bound.
func finishHostileProof(t *testing.T, p *proofSystem, load *proofLoad) {
	t.Helper()
	answeredBefore := load.answered.Load()
	p.await("valid requests are still answered", func() bool { return load.answered.Load() > answeredBefore+10 })
	load.stopAndWait()
	memory := peakMemory(t, p.entries[0])
	t.Logf("%d valid requests answered, %d failed: %v; the entry's peak memory was %d MiB", load.answered.Load(), load.failed.Load(), load.failuresByKind, memory>>20)
	if load.failed.Load() > 0 {
		t.Errorf("%d valid requests failed, want none", load.failed.Load())
	}
	if memory > proofMaxMemoryBytes {
		t.Errorf("the entry's peak memory was %d MiB, want at most %d MiB", memory>>20, proofMaxMemoryBytes>>20)
	}
}

// TestProofHostileBytes guards against an entry that crashes or exhausts its memory
// on malformed input from callers.
func TestProofHostileBytes(t *testing.T) {
	t.Parallel()
	p, load := startHostileProof(t)
	address := p.callerAddress(0)
	requestHead := "GET /s/status/x HTTP/1.1\r\nHost: a\r\n"
	endlessHeaders := io.MultiReader(strings.NewReader(requestHead), io.LimitReader(&repeatReader{text: "X-A: b\r\n"}, 64<<20))
	cases := []struct {
		name  string
		input io.Reader
		want  string
	}{
		{name: "bad length", input: strings.NewReader("POST /s/status/x HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n"), want: "HTTP/1.1 400"},
		{name: "both lengths", input: strings.NewReader("POST /s/status/x HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 5\r\nTransfer-Encoding: nothing\r\n\r\nhello"), want: "HTTP/1.1 501"},
		{name: "endless headers", input: endlessHeaders, want: "HTTP/1.1 431"},
		{name: "garbage", input: bytes.NewReader(bytes.Repeat([]byte{0, 1, 0xff, '\n'}, 5000)), want: "HTTP/1.1 400"},
		{name: "large body", input: strings.NewReader("PUT /s/status/x HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 99999999999\r\n\r\n"), want: "HTTP/1.1 413"},
		{name: "large header", input: strings.NewReader(requestHead + "X-A: " + strings.Repeat("a", 64<<10) + "\r\n\r\n"), want: "HTTP/1.1 431"},
	}
	for _, c := range cases {
		output := sendRaw(t, address, c.input)
		statusLine, _, _ := strings.Cut(output, "\r\n")
		t.Logf("%s: %q", c.name, statusLine)
		if statusLine != "" && !strings.HasPrefix(statusLine, c.want) {
			t.Errorf("%s: got status line %q, want prefix %q", c.name, statusLine, c.want)
		}
	}
	finishHostileProof(t, p, load)
}

// A repeatReader yields a text again and again.
type repeatReader struct {
	text   string
	offset int
}

// Read implements io.Reader.
func (r *repeatReader) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = r.text[r.offset%len(r.text)]
		r.offset++
	}
	return len(b), nil
}

// TestProofHostileConnections guards against callers that keep connections open
// without sending anything or in the middle of a body.
func TestProofHostileConnections(t *testing.T) {
	t.Parallel()
	p, load := startHostileProof(t)
	address := p.callerAddress(0)
	for range 500 {
		dialEntry(t, address)
	}
	for range 50 {
		conn := dialEntry(t, address)
		if _, err := conn.Write([]byte("PUT /s/status/x HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\nslow")); err != nil {
			t.Fatal(err)
		}
	}
	finishHostileProof(t, p, load)
}

// TestProofHostileLookups guards against a flood of lookups that delays or fails
// requests.
func TestProofHostileLookups(t *testing.T) {
	t.Parallel()
	p, load := startHostileProof(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	transport := &http.Transport{MaxIdleConnsPerHost: 8}
	t.Cleanup(transport.CloseIdleConnections)
	var answered, rejected atomic.Int64
	const count = 20_000
	done := make(chan struct{}, 8)
	for worker := range 8 {
		go func() {
			defer func() { done <- struct{}{} }()
			for n := worker; n < count; n += 8 {
				request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/v1/lookup?name=status&from=recife", p.callerAddress(0)), http.NoBody)
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
					rejected.Add(1)
				default:
					t.Errorf("a lookup failed with %s, want success or Overloaded", response.Header.Get(savorystep.HeaderKind))
				}
			}
		}()
	}
	for range 8 {
		<-done
	}
	t.Logf("%d lookups answered, %d rejected as overloaded", answered.Load(), rejected.Load())
	if answered.Load()+rejected.Load() != count || answered.Load() == 0 {
		t.Errorf("%d lookups answered and %d rejected, want %d in total and at least 1 answered", answered.Load(), rejected.Load(), count)
	}
	finishHostileProof(t, p, load)
}

// TestProofOperatorPaths guards against operators' paths that are served on the
// callers' listener, and against operators' requests without the right token.
func TestProofOperatorPaths(t *testing.T) {
	t.Parallel()
	p, load := startHostileProof(t)
	defer finishHostileProof(t, p, load)
	requestStatus := func(address savorystep.Address, method, path, token string) int {
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
		if got := requestStatus(p.callerAddress(0), method, path, "process-test-token"); got != http.StatusNotFound {
			t.Errorf("%s on the callers' listener: got status %d, want 404", path, got)
		}
		for _, token := range []string{"", "process-test-tokem", "process-test-token-and-more"} {
			if got := requestStatus(p.settings[0].OperatorAddress, method, path, token); got != http.StatusUnauthorized {
				t.Errorf("%s with token %q: got status %d, want 401", path, token, got)
			}
		}
	}
	if got := requestStatus(p.settings[0].OperatorAddress, http.MethodGet, "/v1/status", "process-test-token"); got != http.StatusOK {
		t.Errorf("/v1/status with the right token: got status %d, want 200", got)
	}
}
