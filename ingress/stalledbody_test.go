package ingress_test

import (
	"io"
	"net/http"
	"testing"
)

// TestStalledBodyEndsConnection guards against connections that are never closed because
// their caller stopped in the middle of a body.
func TestStalledBodyEndsConnection(t *testing.T) {
	proxy, _, _ := newTestProxy(t, "ok")
	_, address := startServer(t, proxy)
	c, reader := dial(t, address)
	if _, err := io.WriteString(c, "POST /once/x HTTP/1.1\r\nHost: h\r\nAttempt: 1\r\nDeadline: 100\r\nContent-Length: 10\r\n\r\nx"); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusRequestTimeout {
		t.Errorf("status %d, want 408", response.StatusCode)
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		t.Fatal(err)
	}
	if b, err := reader.ReadByte(); err == nil {
		t.Fatalf("read byte %q, want the end of the connection", b)
	}
}
