package caller_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"savorystep"
	"savorystep/caller"
)

// echo responds with the properties of the request that the server derives, and with a
// hash of its body.
func echo(_ context.Context, request *savorystep.Request) (*savorystep.Response, error) {
	text := fmt.Sprintf("%s %s %s key=%q idempotent=%v home=%s length=%d",
		request.Service, request.Method, request.Path, request.IdempotencyKey, request.Idempotent, request.Home, request.BodyLength)
	if request.Body != nil {
		hash := sha256.New()
		n, err := io.Copy(hash, request.Body)
		if err != nil {
			return nil, savorystep.WrapError(savorystep.KindBadRequest, err, "the request body ended early")
		}
		text += fmt.Sprintf(" body=%d:%s", n, hex.EncodeToString(hash.Sum(nil))[:8])
	}
	return &savorystep.Response{
		Status:     http.StatusOK,
		Header:     http.Header{"Connection": {"X-Hop"}, "X-Hop": {"1"}, "X-Kept": {"1"}},
		Body:       io.NopCloser(strings.NewReader(text)),
		BodyLength: int64(len(text)),
		Attempts:   1,
		Endpoint:   "status-01",
	}, nil
}

// newServer returns a server for two services that forwards requests with forward. It is
// ready unless ready points to false.
func newServer(forward forwardFunc, ready *bool) *caller.Server {
	config := &fakeConfig{}
	config.set(7,
		savorystep.Record{Service: "status", Aliases: []savorystep.Name{"statsu"}},
		savorystep.Record{Service: "renewals"},
	)
	resolver := caller.NewResolver(caller.ResolverConfig{
		Config:    config,
		Endpoints: &fakeEndpoints{loads: []savorystep.RegionLoad{{Region: "natal", Slots: 10, UsableEndpoints: 2, Endpoints: 2}}},
		Members:   &fakeMembers{members: []savorystep.Member{newMember("a", "natal", 7)}},
		Self:      savorystep.Instance{ID: "a", Place: savorystep.Place{Region: "natal"}},
		Steer:     steerHome,
	})
	return caller.NewServer(caller.ServerConfig{
		Clock:        savorystep.SystemClock{},
		Forwarder:    forward,
		Limits:       caller.Limits{MaxBodyBytes: 1000, MaxLookupsPerSecond: 1e6, ShutdownDelay: 10 * time.Millisecond, StallTimeout: 5 * time.Second},
		Ready:        func() bool { return ready == nil || *ready },
		Recorder:     fakeRecorder{},
		Config:       config,
		Resolver:     resolver,
		UnknownNames: caller.NewUnknownNameCounter(caller.UnknownNameCounterConfig{}),
	})
}

// TestServerScripts runs the cases of lookups and requests in testdata/server. They guard
// against refusals without a kind and against requests that are modified when they are
// forwarded.
func TestServerScripts(t *testing.T) {
	ready := true
	server := newServer(echo, &ready)
	httpServer := httptest.NewServer(server.Handler())
	defer httpServer.Close()
	datadriven.RunTest(t, "testdata/server", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "ready":
			ready = d.CmdArgs[0].Key == "yes"
			return ""
		case "send":
			return send(t, httpServer.URL, d)
		default:
			t.Fatalf("unknown command %s", d.Cmd)
			return ""
		}
	})
}

// send sends the request in the input of a test case: a line with the method and target,
// header lines, and the body after an empty line. The argument body=N replaces the body
// with N bytes. It returns the status, some headers and the body of the response.
func send(t *testing.T, base string, d *datadriven.TestData) string {
	t.Helper()
	head, body, _ := strings.Cut(d.Input, "\n\n")
	lines := strings.Split(head, "\n")
	method, target, _ := strings.Cut(lines[0], " ")
	if d.HasArg("body") {
		var size int
		d.ScanArgs(t, "body", &size)
		body = strings.Repeat("x", size)
	}
	request, err := http.NewRequestWithContext(t.Context(), method, base+target, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range lines[1:] {
		name, value, _ := strings.Cut(line, ": ")
		request.Header.Add(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	responseBody, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	out.WriteString(strconv.Itoa(response.StatusCode))
	for _, name := range []string{
		savorystep.HeaderKind, savorystep.HeaderRan, "Retry-After", savorystep.HeaderRevision, "X-Hop", "X-Kept",
	} {
		if value := response.Header.Get(name); value != "" {
			fmt.Fprintf(&out, "\n%s: %s", name, value)
		}
	}
	return out.String() + "\n" + string(responseBody)
}

// A brokenBody is a response body that fails after its last byte.
type brokenBody struct {
	io.Reader
}

func (b brokenBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		return n, errors.New("connection to the upstream was reset")
	}
	return n, err
}

func (b brokenBody) Close() error { return nil }

// TestServerTruncatedResponse guards against a truncated response that the caller takes
// for a complete one, with and without a known length.
func TestServerTruncatedResponse(t *testing.T) {
	for _, length := range []int64{-1, 100} {
		t.Run(strconv.FormatInt(length, 10), func(t *testing.T) {
			server := httptest.NewServer(newServer(func(context.Context, *savorystep.Request) (*savorystep.Response, error) {
				body := brokenBody{Reader: strings.NewReader("part")}
				return &savorystep.Response{Status: http.StatusOK, Header: http.Header{}, Body: body, BodyLength: length}, nil
			}, nil).Handler())
			defer server.Close()
			request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL+"/s/status/x", http.NoBody)
			if err != nil {
				t.Fatal(err)
			}
			response, err := server.Client().Do(request)
			if err != nil {
				return
			}
			defer func() { _ = response.Body.Close() }()
			if body, err := io.ReadAll(response.Body); err == nil {
				t.Errorf("truncated response %q was read without an error", body)
			}
		})
	}
}

// TestServerGracefulShutdown guards against a shutdown that interrupts an upload. The
// shutdown starts between two parts of the request body.
func TestServerGracefulShutdown(t *testing.T) {
	started := make(chan struct{})
	server := newServer(func(ctx context.Context, request *savorystep.Request) (*savorystep.Response, error) {
		close(started)
		return echo(ctx, request)
	}, nil)
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := server.Serve(ctx, listener)
	reader, writer := io.Pipe()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPut, "http://"+listener.Addr().String()+"/s/status/up", reader)
	if err != nil {
		t.Fatal(err)
	}
	request.ContentLength = 10
	responses := make(chan string, 1)
	go func() {
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			responses <- err.Error()
			return
		}
		defer func() { _ = response.Body.Close() }()
		body, err := io.ReadAll(response.Body)
		responses <- fmt.Sprint(string(body), err)
	}()
	go func() {
		_, _ = writer.Write([]byte("01234"))
		for server.InFlight() == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
		_, _ = writer.Write([]byte("56789"))
		_ = writer.Close()
	}()
	<-started
	if got := <-responses; !strings.Contains(got, "body=10:") {
		t.Errorf("response = %q, want a body of 10 bytes", got)
	}
	if err := <-done; err != nil {
		t.Errorf("Serve returned %v, want nil", err)
	}
}

// TestServerRefusalIsJSON guards against refusals that callers can't decode as JSON.
func TestServerRefusalIsJSON(t *testing.T) {
	recorder := httptest.NewRecorder()
	request := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/s/statu/x", http.NoBody)
	newServer(echo, nil).Handler().ServeHTTP(recorder, request)
	var refusal caller.Refusal
	if err := json.Unmarshal(recorder.Body.Bytes(), &refusal); err != nil {
		t.Fatal(err)
	}
	if refusal.Kind != "UnknownName" || len(refusal.Suggestions) != 1 || refusal.Suggestions[0] != "status" {
		t.Errorf("refusal = %+v, want UnknownName with the suggestion status", refusal)
	}
}
