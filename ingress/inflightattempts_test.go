package ingress_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"syscall"
	"testing"

	"savorystep"
	"savorystep/http1"
	"savorystep/ingress"
)

// A powerLossTransport simulates an endpoint whose machine loses power. The first
// request gets no response and its endpoint is down from then on. The next request
// to that endpoint finds it down.
type powerLossTransport struct {
	mu sync.Mutex
	// downID is the endpoint that is down, empty before the first request.
	downID savorystep.EndpointID
	// waiting is closed when the first request waits for its response.
	waiting chan struct{}
}

func (p *powerLossTransport) Exchange(ctx context.Context, e savorystep.Endpoint, _ *http1.Request) (*http1.Response, error) {
	p.mu.Lock()
	isFirst := p.downID == ""
	if isFirst {
		p.downID = e.ID
	}
	isDown := p.downID == e.ID
	p.mu.Unlock()
	switch {
	case isFirst:
		close(p.waiting)
		<-ctx.Done()
		return nil, &http1.ExchangeError{Stage: http1.StageSent, Cause: context.Cause(ctx)}
	case isDown:
		return nil, &http1.ExchangeError{Stage: http1.StageSent, Cause: syscall.ETIMEDOUT}
	default:
		return &http1.Response{Status: http.StatusOK, Header: http.Header{"Signature": {"s"}}}, nil
	}
}

// TestEndpointDownCancelsAttempts guards against safe requests that wait until
// their deadline for a machine without power, although another request of this
// instance has found it down. It also guards against cancelling requests that may
// run only once.
func TestEndpointDownCancelsAttempts(t *testing.T) {
	for _, test := range []struct {
		name, path string
		want       int
	}{
		{name: "once", path: "/once/x", want: http.StatusGatewayTimeout},
		{name: "safe", path: "/safe/x", want: http.StatusOK},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, _, router := newTestProxy(t, "ok")
			transport := &powerLossTransport{waiting: make(chan struct{})}
			proxy := ingress.NewProxy(ingress.ProxyConfig{
				Clock: savorystep.SystemClock{}, HeaderNames: names, Endings: ingress.NewEndings(&fakeFacts{}, router), Leavings: ingress.NewLeavings(&fakeFacts{}, router), Notices: noticeDecoder{}, Quarantine: ingress.NewQuarantine(&fakeFacts{}, nil), RateLimits: ingress.NewRateLimits(&fakeFacts{}, router),
				Place: savorystep.Place{Region: "r", Zone: "z"}, Transport: transport, Router: router,
			})
			request := func(path string) int {
				recorder := httptest.NewRecorder()
				r := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "http://h"+path, http.NoBody)
				r.RequestURI = path
				r.Header.Set("Attempt", "1")
				r.Header.Set("Affinity", "object")
				proxy.ServeHTTP(recorder, r)
				return recorder.Code
			}
			first := make(chan int, 1)
			go func() { first <- request(test.path) }()
			<-transport.waiting
			request("/safe/y")
			if status := <-first; status != test.want {
				t.Errorf("status %d, want %d", status, test.want)
			}
		})
	}
}
