package ingress_test

import (
	"context"
	"net/http"
	"sync"
	"testing"

	"savorystep"
	"savorystep/http1"
	"savorystep/ingress"
)

// A connectingTransport holds the first request until a second one opens a connection to
// the same endpoint. That connection is open once the first request is answered.
type connectingTransport struct {
	fakeTransport

	once                           sync.Once
	first                          savorystep.EndpointID
	started, connecting, connected chan struct{}
	// skipsCheck is true if the request is sent without BeforeSend.
	skipsCheck bool
}

var _ ingress.Transport = &connectingTransport{}

// Exchange implements ingress.Transport.
func (c *connectingTransport) Exchange(ctx context.Context, e savorystep.Endpoint, r *http1.Request) (*http1.Response, error) {
	isFirst := false
	c.once.Do(func() { c.first, isFirst = e.ID, true })
	switch {
	case isFirst:
		close(c.started)
		<-c.connecting
	case e.ID == c.first:
		close(c.connecting)
		<-c.connected
		if c.skipsCheck {
			break
		}
		if err := r.BeforeSend(); err != nil {
			return nil, &http1.ExchangeError{Stage: http1.StageUnsent, NewConnection: true, Cause: err}
		}
	}
	return c.fakeTransport.Exchange(ctx, e, r)
}

// sendWhileConnecting sends two requests for an object. The second one opens a
// connection while the first one gets a response with the given outcome. It returns the
// number of requests that the endpoint of the first got and the status of the second.
func sendWhileConnecting(t *testing.T, outcome string, skipsCheck bool) (count, status int) {
	t.Helper()
	_, _, router := newPatientProxy(t, "ok")
	transport := &connectingTransport{
		fakeTransport: fakeTransport{outcomes: []string{outcome, "ok"}},
		started:       make(chan struct{}), connecting: make(chan struct{}), connected: make(chan struct{}), skipsCheck: skipsCheck,
	}
	proxy := ingress.NewProxy(ingress.ProxyConfig{
		Clock: savorystep.SystemClock{}, HeaderNames: names, Endings: ingress.NewEndings(&fakeFacts{}, router), Leavings: ingress.NewLeavings(&fakeFacts{}, router), Notices: noticeDecoder{},
		Quarantine: ingress.NewQuarantine(&fakeFacts{}, nil), RateLimits: ingress.NewRateLimits(&fakeFacts{}, router), Transport: transport, Router: router,
	})
	firstDone := make(chan struct{})
	go func() {
		defer close(firstDone)
		sendSafe(t, proxy, "object")
	}()
	<-transport.started
	second := make(chan int)
	go func() { second <- sendSafe(t, proxy, "object").Code }()
	<-firstDone
	close(transport.connected)
	status = <-second
	return countRequestsTo(transport.requests(), transport.first), status
}

// TestNoticeWhileConnecting guards against a request that is sent to an endpoint which
// has said that it wants none while the connection for the request was opened.
func TestNoticeWhileConnecting(t *testing.T) {
	for _, outcome := range []string{"leaving", "shed 30s"} {
		t.Run(outcome, func(t *testing.T) {
			count, status := sendWhileConnecting(t, outcome, false)
			if count != 1 || status != http.StatusOK {
				t.Errorf("the endpoint got %d requests and the second one was answered with %d, want 1 and 200", count, status)
			}
		})
	}
}

// TestNoticeWhileConnectingCanFail shows that TestNoticeWhileConnecting can fail: a
// transport that doesn't ask again before it sends.
func TestNoticeWhileConnectingCanFail(t *testing.T) {
	for _, outcome := range []string{"leaving", "shed 30s"} {
		if count, _ := sendWhileConnecting(t, outcome, true); count != 2 {
			t.Errorf("%s: the endpoint got %d requests, want 2", outcome, count)
		}
	}
}
