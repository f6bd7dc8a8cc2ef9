package ingress_test

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
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
