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

// A darkSender has one endpoint whose machine loses power: a request there waits
// for an answer that never comes, and the next one finds the endpoint down.
type darkSender struct {
	mu      sync.Mutex
	dark    savorystep.EndpointID
	waiting chan struct{}
}

func (d *darkSender) Exchange(ctx context.Context, e savorystep.Endpoint, _ *http1.Request) (*http1.Response, error) {
	d.mu.Lock()
	isFirst := d.dark == ""
	if isFirst {
		d.dark = e.ID
	}
	isDark := d.dark == e.ID
	d.mu.Unlock()
	switch {
	case isFirst:
		close(d.waiting)
		<-ctx.Done()
		return nil, &http1.ExchangeError{Stage: http1.StageSent, Cause: context.Cause(ctx)}
	case isDark:
		return nil, &http1.ExchangeError{Stage: http1.StageSent, Cause: syscall.ETIMEDOUT}
	default:
		return &http1.Response{Status: http.StatusOK, Header: http.Header{"Signature": {"s"}}}, nil
	}
}

// TestDarkEndpointIsTold guards against safe requests that wait until their
// deadline at a machine without power though another request of this instance
// has found it dark, and against ending requests that may run only once.
func TestDarkEndpointIsTold(t *testing.T) {
	for _, test := range []struct {
		name, path string
		want       int
	}{
		{name: "once", path: "/once/x", want: http.StatusGatewayTimeout},
		{name: "safe", path: "/safe/x", want: http.StatusOK},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, _, steering := newFront(t, "ok")
			sender := &darkSender{waiting: make(chan struct{})}
			front := ingress.NewProxy(ingress.ProxyConfig{
				Clock: savorystep.SystemClock{}, HeaderNames: names, Quarantine: ingress.NewQuarantine(&fakeFacts{}),
				Place: savorystep.Place{Region: "r", Zone: "z"}, Transport: sender, Router: steering,
			})
			request := func(path string) int {
				recorder := httptest.NewRecorder()
				r := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "http://h"+path, http.NoBody)
				r.RequestURI = path
				r.Header.Set("Attempt", "1")
				r.Header.Set("Affinity", "object")
				front.ServeHTTP(recorder, r)
				return recorder.Code
			}
			first := make(chan int, 1)
			go func() { first <- request(test.path) }()
			<-sender.waiting
			request("/safe/y")
			if status := <-first; status != test.want {
				t.Errorf("status %d, want %d", status, test.want)
			}
		})
	}
}
