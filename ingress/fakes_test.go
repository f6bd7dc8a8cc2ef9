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

// names are the header names in the tests.
var names = savorystep.HeaderNames{
	AffinityKey: "Affinity", AttemptID: "Attempt", ColdRemaining: "Cold", Deadline: "Deadline", EndpointID: "ID", ExpectedEndpoint: "Expected",
	Load: "Load", NotExecuted: "Not-Run", RateLimit: "Limit", Signature: "Signature",
}

// A noticeDecoder reads the headers Leaving and Wait, a duration, in the tests.
type noticeDecoder struct{}

var _ savorystep.NoticeDecoder = noticeDecoder{}

func (noticeDecoder) DecodeNotice(_ int, header http.Header) (savorystep.EndpointNotice, error) {
	notice := savorystep.EndpointNotice{IsLeaving: header.Get("Leaving") != ""}
	var err error
	if text := header.Get("Wait"); text != "" {
		notice.RetryAfter, err = time.ParseDuration(text)
	}
	return notice, err
}

// errReset is the cause of failed exchanges.
var errReset = errors.New("connection reset")

// A sentRequest is a request as an endpoint received it.
type sentRequest struct {
	endpoint savorystep.EndpointID
	header   http.Header
	body     string
	target   string
}

// A fakeTransport ends the exchanges of requests with the given outcomes in order,
// and repeats the last one.
type fakeTransport struct {
	mu       sync.Mutex
	outcomes []string
	sent     []sentRequest
	// block is closed to complete the exchanges with outcome "block".
	block chan struct{}
	// onExchange is called at the start of each exchange unless it is nil.
	onExchange func()
}

var _ ingress.Transport = &fakeTransport{}

func (f *fakeTransport) Exchange(ctx context.Context, e savorystep.Endpoint, r *http1.Request) (*http1.Response, error) {
	f.mu.Lock()
	f.sent = append(f.sent, sentRequest{endpoint: e.ID, header: r.Header, body: string(r.Body), target: r.Target})
	outcome := f.outcomes[0]
	if len(f.outcomes) > 1 {
		f.outcomes = f.outcomes[1:]
	}
	f.mu.Unlock()
	if f.onExchange != nil {
		f.onExchange()
	}
	respond := func(status int, header ...string) (*http1.Response, error) {
		response := &http1.Response{Status: status, Header: http.Header{}, Body: []byte("body")}
		for i := 0; i+1 < len(header); i += 2 {
			response.Header.Set(header[i], header[i+1])
		}
		return response, nil
	}
	switch outcome {
	case "ok":
		return respond(http.StatusOK, "Signature", "s", "Load", "1,0,3")
	case "limited":
		return respond(http.StatusOK, "Signature", "s", "Limit", "4.4")
	case "limited shed":
		return respond(http.StatusServiceUnavailable, "Not-Run", "1", "Limit", "4.4")
	case "limited gone":
		return respond(http.StatusMisdirectedRequest, "Limit", "4.4")
	case "limited badly":
		return respond(http.StatusOK, "Signature", "s", "Limit", "many")
	case "shed 20s", "shed 30s", "shed 40s":
		return respond(http.StatusServiceUnavailable, "Not-Run", "1", "Wait", outcome[len("shed "):])
	case "leaving":
		return respond(http.StatusOK, "Signature", "s", "Leaving", "1")
	case "leaving shed":
		return respond(http.StatusServiceUnavailable, "Not-Run", "1", "Leaving", "1")
	case "leaving failed":
		return respond(http.StatusInternalServerError, "Signature", "s", "Leaving", "1")
	case "leaving gone":
		return respond(http.StatusMisdirectedRequest, "Leaving", "1")
	case "failed":
		return respond(http.StatusInternalServerError, "Signature", "s")
	case "shed":
		return respond(http.StatusServiceUnavailable, "Not-Run", "1")
	case "gone":
		return respond(http.StatusMisdirectedRequest)
	case "shed signed":
		return respond(http.StatusServiceUnavailable, "Not-Run", "1", "Signature", "s")
	case "gone signed":
		return respond(http.StatusMisdirectedRequest, "Signature", "s")
	case "unsigned":
		return respond(http.StatusOK)
	case "encoded":
		return respond(http.StatusOK, "Signature", "s", "Content-Encoding", "gzip")
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
		return respond(http.StatusOK, "Signature", "s")
	default:
		return nil, &http1.ExchangeError{Stage: http1.StageSent, ClosedByEndpoint: true, Cause: errReset}
	}
}

// requests returns the requests that were sent.
func (f *fakeTransport) requests() []sentRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]sentRequest(nil), f.sent...)
}

// newTestProxy returns a proxy with three endpoints of service s and a route for
// each kind of repetition, its transport and its router.
func newTestProxy(t testing.TB, outcomes ...string) (*ingress.Proxy, *fakeTransport, *ingress.Router) {
	t.Helper()
	return newTestProxyWithMemory(t, 0, outcomes...)
}

// newTestProxyWithMemory is newTestProxy with a memory limit in bytes, zero for
// none.
func newTestProxyWithMemory(t testing.TB, memoryLimit int64, outcomes ...string) (*ingress.Proxy, *fakeTransport, *ingress.Router) {
	t.Helper()
	transport := &fakeTransport{outcomes: outcomes, block: make(chan struct{})}
	router := ingress.NewRouter(endpoint.Config{Self: "self", RetryRatio: 0.2, RetrySlack: 56, RetryWindow: 10 * time.Second})
	route := func(name string, repetition savorystep.RequestClass) *savorystep.Route {
		return &savorystep.Route{
			Name: savorystep.RouteName(name), Host: "h", Prefix: "/" + name + "/", Class: repetition,
			Split: []savorystep.WeightedService{{Service: "s", Weight: 1}}, Timeout: 300 * time.Millisecond, MaxAttempts: 2, Sticky: true,
		}
	}
	router.SetRouting(savorystep.NewRouting(1, []*savorystep.Route{
		route("safe", savorystep.RequestClassIdempotent), route("once", savorystep.RequestClassNonIdempotent), route("upload", savorystep.RequestClassUpload), route("download", savorystep.RequestClassDownload),
	}, map[savorystep.Service]savorystep.ServiceSpec{"s": {Name: "s"}}, savorystep.ClientLimits{HeaderBytes: 4096, BodyBytes: 1000}))
	changes := savorystep.EndpointChanges{Version: 1, Full: true}
	for _, id := range []savorystep.EndpointID{"a", "b", "c"} {
		changes.Endpoints = append(changes.Endpoints, savorystep.Endpoint{
			ID: id, Service: "s", State: savorystep.StateLive, Slots: 3, ReportSequence: 1, WrittenVersion: 1, Place: savorystep.Place{Zone: "z"},
		})
	}
	watcher := ingress.NewWatcher(ingress.WatcherConfig{Router: router, Clock: savorystep.SystemClock{}, RegionByZone: map[savorystep.Zone]savorystep.Region{"z": "r"}})
	watcher.ApplyList(time.Now(), changes)
	proxy := ingress.NewProxy(ingress.ProxyConfig{
		Clock: savorystep.SystemClock{}, MemoryLimitBytes: memoryLimit, HeaderNames: names, Endings: ingress.NewEndings(&fakeFacts{}, router), Leavings: ingress.NewLeavings(&fakeFacts{}, router), Notices: noticeDecoder{}, Quarantine: ingress.NewQuarantine(&fakeFacts{}, nil), RateLimits: ingress.NewRateLimits(&fakeFacts{}, router), Place: savorystep.Place{Region: "r", Zone: "z"}, Transport: transport, Router: router,
	})
	return proxy, transport, router
}

// fakeFacts delivers facts to the subscribers of all instances immediately.
type fakeFacts struct {
	mu          sync.Mutex
	subscribers map[savorystep.FactKind][]func(savorystep.ReceivedFact)
}

func (*fakeFacts) Facts(savorystep.FactKind) []savorystep.ReceivedFact { return nil }

func (f *fakeFacts) Broadcast(_ context.Context, kind savorystep.FactKind, subject string, body any) (acked, missing int) {
	f.Publish(kind, subject, body)
	return len(f.subscribers[kind]), 0
}

func (f *fakeFacts) Subscribe(kind savorystep.FactKind, subscriber func(savorystep.ReceivedFact)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.subscribers == nil {
		f.subscribers = make(map[savorystep.FactKind][]func(savorystep.ReceivedFact))
	}
	f.subscribers[kind] = append(f.subscribers[kind], subscriber)
}

func (f *fakeFacts) Publish(kind savorystep.FactKind, subject string, body any) {
	f.publishFrom("", kind, subject, body)
}

// publishFrom is Publish for a fact of the given instance.
func (f *fakeFacts) publishFrom(instance savorystep.InstanceID, kind savorystep.FactKind, subject string, body any) {
	data, err := cbor.Marshal(body)
	if err != nil {
		panic(err)
	}
	f.mu.Lock()
	subscribers := f.subscribers[kind]
	f.mu.Unlock()
	for _, subscriber := range subscribers {
		subscriber(savorystep.ReceivedFact{Fact: savorystep.Fact{Instance: instance, Kind: kind, Subject: subject, Body: data}, ReceivedAt: time.Now()})
	}
}
