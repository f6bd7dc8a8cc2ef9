package ingress_test

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"savorystep"
	"savorystep/endpoint"
	"savorystep/http1"
	"savorystep/ingress"
)

// names are the headers of the tests.
var names = savorystep.HeaderNames{
	AffinityKey: "Affinity", AttemptID: "Attempt", Deadline: "Deadline", ExpectedEndpoint: "Expected",
	Load: "Load", NotExecuted: "Not-Run", Signature: "Signature",
}

// errReset is the cause of broken connections.
var errReset = errors.New("connection reset")

// A sent is a request as an endpoint got it.
type sent struct {
	endpoint savorystep.EndpointID
	header   http.Header
	body     string
	target   string
}

// A fakeSender answers requests with the given outcomes, in order; the last one
// stays.
type fakeSender struct {
	mu       sync.Mutex
	outcomes []string
	sent     []sent
	// block is closed to let "block" outcomes go on.
	block chan struct{}
}

var _ ingress.Transport = &fakeSender{}

func (f *fakeSender) Exchange(ctx context.Context, e savorystep.Endpoint, r *http1.Request) (*http1.Response, error) {
	f.mu.Lock()
	f.sent = append(f.sent, sent{endpoint: e.ID, header: r.Header, body: string(r.Body), target: r.Target})
	outcome := f.outcomes[0]
	if len(f.outcomes) > 1 {
		f.outcomes = f.outcomes[1:]
	}
	f.mu.Unlock()
	answer := func(status int, header ...string) (*http1.Response, error) {
		response := &http1.Response{Status: status, Header: http.Header{}, Body: []byte("body")}
		for i := 0; i+1 < len(header); i += 2 {
			response.Header.Set(header[i], header[i+1])
		}
		return response, nil
	}
	switch outcome {
	case "ok":
		return answer(http.StatusOK, "Signature", "s", "Load", "1,0,3")
	case "failed":
		return answer(http.StatusInternalServerError, "Signature", "s")
	case "shed":
		return answer(http.StatusServiceUnavailable, "Not-Run", "1")
	case "gone":
		return answer(http.StatusMisdirectedRequest)
	case "unsigned":
		return answer(http.StatusOK)
	case "encoded":
		return answer(http.StatusOK, "Signature", "s", "Content-Encoding", "gzip")
	case "refused":
		return nil, &http1.ExchangeError{Stage: http1.StageDial, Cause: errReset}
	case "unsent":
		return nil, &http1.ExchangeError{Stage: http1.StageUnsent, Cause: errReset}
	case "silent":
		<-ctx.Done()
		return nil, &http1.ExchangeError{Stage: http1.StageSent, Cause: ctx.Err()}
	case "full":
		return nil, &http1.ExchangeError{Stage: http1.StageSent, BudgetExceeded: true, Cause: http1.ErrBudgetExceeded}
	case "block":
		<-f.block
		return answer(http.StatusOK, "Signature", "s")
	default:
		return nil, &http1.ExchangeError{Stage: http1.StageSent, Cause: errReset}
	}
}

// requests returns what was sent.
func (f *fakeSender) requests() []sent {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]sent(nil), f.sent...)
}

// newFront returns a front with three endpoints of service s and a route of
// each kind of repetition.
func newFront(t testing.TB, outcomes ...string) (*ingress.Proxy, *fakeSender, *ingress.Router) {
	t.Helper()
	return newFrontWithMemory(t, 0, outcomes...)
}

// newFrontWithMemory returns a front with a limit of memory.
func newFrontWithMemory(t testing.TB, memory int64, outcomes ...string) (*ingress.Proxy, *fakeSender, *ingress.Router) {
	t.Helper()
	sender := &fakeSender{outcomes: outcomes, block: make(chan struct{})}
	steering := ingress.NewRouter(endpoint.Config{Self: "self", RetryRatio: 0.2, RetrySlack: 56, RetryWindow: 10 * time.Second})
	route := func(name string, repetition savorystep.RequestClass) *savorystep.Route {
		return &savorystep.Route{
			Name: savorystep.RouteName(name), Host: "h", Prefix: "/" + name + "/", Class: repetition,
			Split: []savorystep.WeightedService{{Service: "s", Weight: 1}}, Timeout: 300 * time.Millisecond, MaxAttempts: 2, Sticky: true,
		}
	}
	steering.SetRouting(savorystep.NewRouting(1, []*savorystep.Route{
		route("safe", savorystep.RequestClassIdempotent), route("once", savorystep.RequestClassNonIdempotent), route("upload", savorystep.RequestClassUpload), route("download", savorystep.RequestClassDownload),
	}, map[savorystep.Service]savorystep.ServiceSpec{"s": {Name: "s"}}, savorystep.ClientLimits{HeaderBytes: 4096, BodyBytes: 1000}))
	list := savorystep.EndpointChanges{Version: 1, Full: true}
	for _, id := range []savorystep.EndpointID{"a", "b", "c"} {
		list.Endpoints = append(list.Endpoints, savorystep.Endpoint{
			ID: id, Service: "s", State: savorystep.StateLive, Slots: 3, ReportSequence: 1, WrittenVersion: 1, Place: savorystep.Place{Zone: "z"},
		})
	}
	watcher := ingress.NewWatcher(ingress.WatcherConfig{Router: steering, Clock: savorystep.SystemClock{}, RegionByZone: map[savorystep.Zone]savorystep.Region{"z": "r"}})
	watcher.ApplyList(time.Now(), list)
	front := ingress.NewProxy(ingress.ProxyConfig{
		Clock: savorystep.SystemClock{}, MemoryLimitBytes: memory, HeaderNames: names, Quarantine: ingress.NewQuarantine(&fakeFacts{}), Place: savorystep.Place{Region: "r", Zone: "z"}, Transport: sender, Router: steering,
	})
	return front, sender, steering
}

// fakeFacts are facts that reach the subscribers of all instances at once.
type fakeFacts struct {
	mu          sync.Mutex
	subscribers []func(savorystep.ReceivedFact)
}

func (*fakeFacts) Facts(savorystep.FactKind) []savorystep.ReceivedFact { return nil }

func (f *fakeFacts) Broadcast(_ context.Context, kind savorystep.FactKind, subject string, body any) (acked, missing int) {
	f.Publish(kind, subject, body)
	return len(f.subscribers), 0
}

func (f *fakeFacts) Subscribe(_ savorystep.FactKind, hear func(savorystep.ReceivedFact)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.subscribers = append(f.subscribers, hear)
}

func (f *fakeFacts) Publish(kind savorystep.FactKind, subject string, body any) {
	data, err := cbor.Marshal(body)
	if err != nil {
		panic(err)
	}
	f.mu.Lock()
	subscribers := f.subscribers
	f.mu.Unlock()
	for _, hear := range subscribers {
		hear(savorystep.ReceivedFact{Fact: savorystep.Fact{Kind: kind, Subject: subject, Body: data}, ReceivedAt: time.Now()})
	}
}
