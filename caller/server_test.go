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

// echo answers with the parts of a request that matter to steering.
func echo(_ context.Context, request *savorystep.Request) (*savorystep.Response, error) {
	text := fmt.Sprintf("%s %s %s key=%q idempotent=%v home=%s length=%d",
		request.Service, request.Method, request.Path, request.IdempotencyKey, request.Idempotent, request.Home, request.BodyLength)
	if request.Body != nil {
		hash := sha256.New()
		n, err := io.Copy(hash, request.Body)
		if err != nil {
			return nil, savorystep.WrapError(savorystep.KindBadRequest, err, "the body ended early")
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

// newServer returns a server with two records and the given forwarder.
func newServer(forward forwardFunc, ready *bool) *caller.Server {
	config := &fakeConfig{}
	config.set(7,
		savorystep.Record{Service: "status", Aliases: []savorystep.Name{"statsu"}},
		savorystep.Record{Service: "renewals"},
	)
	steering := caller.NewResolver(caller.ResolverConfig{
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
		Resolver:     steering,
		UnknownNames: caller.NewUnknownNameCounter(caller.UnknownNameCounterConfig{}),
	})
}

// TestServerScripts runs the scripted cases of lookups and requests. They
// guard against answers without a kind and requests that are changed on their
// way.
func TestServerScripts(t *testing.T) {
	ready := true
	server := newServer(echo, &ready)
	listening := httptest.NewServer(server.Handler())
	defer listening.Close()
	datadriven.RunTest(t, "testdata/server", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "ready":
			ready = d.CmdArgs[0].Key == "yes"
			return ""
		case "send":
			return send(t, listening.URL, d)
		default:
			t.Fatalf("unknown command %s", d.Cmd)
			return ""
		}
	})
}

// send sends the request of a script: a line with method and target, header
// lines, and after an empty line the body.
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
	answer, err := io.ReadAll(response.Body)
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
	return out.String() + "\n" + string(answer)
}

// A brokenBody gives a part of an answer and then an error.
type brokenBody struct {
	io.Reader
}

func (b brokenBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		return n, errors.New("the upstream broke off")
	}
	return n, err
}

func (b brokenBody) Close() error { return nil }

// TestServerTruncatedAnswer guards against a part of an answer that a caller
// takes as the whole, with and without a known length.
func TestServerTruncatedAnswer(t *testing.T) {
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
				t.Errorf("the caller read %q without an error", body)
			}
		})
	}
}

// TestServerGracefulStop guards against a stop that interrupts an upload: the
// body is sent in two parts, and the stop comes between them.
func TestServerGracefulStop(t *testing.T) {
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
	answered := make(chan string, 1)
	go func() {
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			answered <- err.Error()
			return
		}
		defer func() { _ = response.Body.Close() }()
		body, err := io.ReadAll(response.Body)
		answered <- fmt.Sprint(string(body), err)
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
	if got := <-answered; !strings.Contains(got, "body=10:") {
		t.Errorf("answer = %s", got)
	}
	if err := <-done; err != nil {
		t.Errorf("Serve ended with %v", err)
	}
}

// TestServerRefusalIsJSON guards against refusals that a caller can't parse.
func TestServerRefusalIsJSON(t *testing.T) {
	recorder := httptest.NewRecorder()
	request := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/s/statu/x", http.NoBody)
	newServer(echo, nil).Handler().ServeHTTP(recorder, request)
	var refusal caller.Refusal
	if err := json.Unmarshal(recorder.Body.Bytes(), &refusal); err != nil {
		t.Fatal(err)
	}
	if refusal.Kind != "UnknownName" || len(refusal.Suggestions) != 1 || refusal.Suggestions[0] != "status" {
		t.Errorf("refusal = %+v", refusal)
	}
}
