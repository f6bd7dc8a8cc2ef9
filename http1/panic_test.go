package http1_test

import (
	"testing"
	"time"
)

// TestPanicClosesConnection guards against connections to endpoints that stay open after a
// panic in an exchange, which nothing closes thereafter.
func TestPanicClosesConnection(t *testing.T) {
	connClosed := make(chan struct{})
	target, _ := startEndpoint(t, func(c *serverConn) {
		_, _ = c.readRequest()
		close(connClosed)
	})
	request := newRequest("1")
	request.BeforeSend = func() error { panic("a fault of the check") }
	func() {
		defer func() {
			if recover() == nil {
				t.Error("the exchange did not panic")
			}
		}()
		_, _ = newPool().Exchange(t.Context(), target, request)
	}()
	select {
	case <-connClosed:
	case <-time.After(10 * time.Second):
		t.Error("the connection is open after the panic")
	}
}
