package ingress_test

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"

	"savorystep"
	"savorystep/http1"
	"savorystep/ingress"
)

// TestPanicIsAnswered guards against a request whose caller gets no answer, because its
// handler panics before it has written one, and against later requests on other connections
// that suffer from it.
func TestPanicIsAnswered(t *testing.T) {
	proxy, transport, _ := newPatientProxy(t, "ok")
	_, address := startServer(t, proxy)
	var exchanges atomic.Int64
	transport.onExchange = func() {
		if exchanges.Add(1) == 1 {
			panic("a fault of the handler")
		}
	}
	c, reader := dial(t, address)
	if _, err := io.WriteString(c, "GET /safe/x HTTP/1.1\r\nHost: h\r\nAttempt: 1\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatalf("no answer after a panic: %v", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusInternalServerError || response.Header.Get("Attempt") != "1" || !response.Close {
		t.Errorf("status %d, attempt id %q, closes %t, want 500, 1 and true", response.StatusCode, response.Header.Get("Attempt"), response.Close)
	}
	// The server closes the connection once the handler has returned.
	if _, err := io.Copy(io.Discard, reader); err != nil {
		t.Error(err)
	}
	if proxy.InFlight() != 0 {
		t.Errorf("%d requests in flight, want 0", proxy.InFlight())
	}
	other, otherReader := dial(t, address)
	if got := roundTrip(t, other, otherReader, "/safe/y"); got.status != http.StatusOK {
		t.Errorf("status %d for another request, want 200", got.status)
	}
}

// A panickingTransport ends exchanges with its outcomes in turn while isFaulty is set, and
// answers otherwise.
type panickingTransport struct {
	mu        sync.Mutex
	isFaulty  bool
	outcomes  []string
	responses []*http1.Response
}

func (f *panickingTransport) Exchange(_ context.Context, _ savorystep.Endpoint, _ *http1.Request) (*http1.Response, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	outcome := "ok"
	if f.isFaulty {
		outcome = f.outcomes[0]
		f.outcomes = append(f.outcomes[1:], outcome)
	}
	status := http.StatusOK
	switch outcome {
	case "panic":
		panic("a fault of the transport")
	case "failed":
		status = http.StatusInternalServerError
	}
	response := &http1.Response{Status: status, Header: http.Header{"Signature": {"s"}}, Body: []byte("body")}
	f.responses = append(f.responses, response)
	return response, nil
}

// setFaulty sets whether exchanges have the outcomes, and returns the responses before.
func (f *panickingTransport) setFaulty(isFaulty bool) []*http1.Response {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isFaulty = isFaulty
	responses := f.responses
	f.responses = nil
	return responses
}

// A panickingDecoder panics at each notice while isFaulty is set.
type panickingDecoder struct{ isFaulty atomic.Bool }

func (d *panickingDecoder) DecodeNotice(status int, header http.Header) (savorystep.EndpointNotice, error) {
	if d.isFaulty.Load() {
		panic("a fault of the decoder")
	}
	return noticeDecoder{}.DecodeNotice(status, header)
}

// TestPanicReleasesSlot guards against slots of endpoints, and memory of responses, that are
// lost with each request that panics, until no endpoint has room.
func TestPanicReleasesSlot(t *testing.T) {
	for _, test := range []struct {
		name     string
		outcomes []string
		requests int
		// panicsInNotice makes the reading of each response panic.
		panicsInNotice bool
	}{
		{name: "without a response", outcomes: []string{"panic"}, requests: 30},
		{name: "with a response", outcomes: []string{"ok"}, requests: 30, panicsInNotice: true},
		// More failures would make all endpoints back off.
		{name: "after a failed response", outcomes: []string{"failed", "panic"}, requests: 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, _, router := newPatientProxy(t, "ok")
			transport := &panickingTransport{outcomes: test.outcomes}
			decoder := &panickingDecoder{}
			proxy := ingress.NewProxy(ingress.ProxyConfig{
				Clock: savorystep.SystemClock{}, HeaderNames: names, Endings: ingress.NewEndings(&fakeFacts{}, router), Leavings: ingress.NewLeavings(&fakeFacts{}, router), Notices: decoder,
				Quarantine: ingress.NewQuarantine(&fakeFacts{}, nil), RateLimits: ingress.NewRateLimits(&fakeFacts{}, router), Transport: transport, Router: router,
			})
			transport.setFaulty(true)
			decoder.isFaulty.Store(test.panicsInNotice)
			for n := range test.requests {
				if recorder := sendSafe(t, proxy, strconv.Itoa(n)); recorder.Code != http.StatusInternalServerError {
					t.Fatalf("status %d for request %d, which panics, want 500", recorder.Code, n)
				}
			}
			for _, response := range transport.setFaulty(false) {
				if response.Body != nil {
					t.Fatal("a response was not released")
				}
			}
			decoder.isFaulty.Store(false)
			if recorder := sendSafe(t, proxy, "last"); recorder.Code != http.StatusOK {
				t.Errorf("status %d after the panics, want 200", recorder.Code)
			}
			if proxy.InFlight() != 0 {
				t.Errorf("%d requests in flight, want 0", proxy.InFlight())
			}
		})
	}
}
