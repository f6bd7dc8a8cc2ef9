package http1_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"savorystep"
	"savorystep/http1"
)

// A serverConn is a connection accepted by a scripted endpoint.
type serverConn struct {
	net.Conn
	reader *bufio.Reader
}

// readRequest reads a request with its body and returns its attempt id.
func (c *serverConn) readRequest() (string, error) {
	r, err := http.ReadRequest(c.reader)
	if err != nil {
		return "", err
	}
	if r.ContentLength > 0 {
		if _, err := c.reader.Discard(int(r.ContentLength)); err != nil {
			return "", err
		}
	}
	return r.Header.Get("Attempt"), nil
}

// writeResponse writes a response with extra header lines.
func (c *serverConn) writeResponse(id, body string, extra ...string) {
	lines := append([]string{"HTTP/1.1 200 OK", "Attempt: " + id, fmt.Sprint("Content-Length: ", len(body))}, extra...)
	_, _ = c.Write([]byte(strings.Join(lines, "\r\n") + "\r\n\r\n" + body))
}

// startEndpoint starts a scripted endpoint that calls serve for each connection.
// It returns the number of accepted connections, too.
func startEndpoint(t *testing.T, serve func(*serverConn)) (savorystep.Endpoint, *atomic.Int64) {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	var accepted atomic.Int64
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			go func() {
				defer func() { _ = c.Close() }()
				serve(&serverConn{Conn: c, reader: bufio.NewReader(c)})
			}()
		}
	}()
	return savorystep.Endpoint{ID: "e", Address: savorystep.Address(listener.Addr().String())}, &accepted
}

// dialTimeout only ends a test whose endpoint can't be reached.
const dialTimeout = 20 * time.Second

func newPool() *http1.Pool {
	return http1.NewPool(http1.Config{DialTimeout: dialTimeout, HeaderNames: savorystep.HeaderNames{AttemptID: "Attempt", NotExecuted: "Not-Run"}})
}

// exchangeWithin makes an exchange that its endpoint does not complete, and returns its
// error. If the request could not be sent before the timeout, it is repeated with a longer
// one.
func exchangeWithin(t *testing.T, timeout time.Duration, target savorystep.Endpoint, request *http1.Request) error {
	t.Helper()
	for pool := newPool(); ; timeout *= 2 {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		_, err := pool.Exchange(ctx, target, request)
		cancel()
		var exchangeErr *http1.ExchangeError
		if !errors.As(err, &exchangeErr) || exchangeErr.Stage == http1.StageSent || timeout > dialTimeout {
			return err
		}
	}
}

func newRequest(id string) *http1.Request {
	return &http1.Request{
		Method: http.MethodGet, Target: "/a?b=c", Host: "h",
		Header: http.Header{"Attempt": {id}}, AttemptID: savorystep.RequestID(id),
	}
}

// TestExchangeReusesConnection guards against a new connection for each request.
func TestExchangeReusesConnection(t *testing.T) {
	target, accepted := startEndpoint(t, func(c *serverConn) {
		for {
			id, err := c.readRequest()
			if err != nil {
				return
			}
			c.writeResponse(id, "body of "+id)
		}
	})
	pool := newPool()
	for _, id := range []string{"1", "2", "3"} {
		response, err := pool.Exchange(t.Context(), target, newRequest(id))
		if err != nil || string(response.Body) != "body of "+id {
			t.Fatalf("request %s: response %v, error %v", id, response, err)
		}
	}
	if accepted.Load() != 1 {
		t.Errorf("endpoint accepted %d connections, want 1", accepted.Load())
	}
}

// TestExchangeMismatchedResponse guards against returning the response to an
// earlier request, and against reusing a connection on which one arrived.
func TestExchangeMismatchedResponse(t *testing.T) {
	target, accepted := startEndpoint(t, func(c *serverConn) {
		for {
			id, err := c.readRequest()
			if err != nil {
				return
			}
			c.writeResponse("earlier", "foreign")
			c.writeResponse(id, "own")
		}
	})
	pool := newPool()
	for range 2 {
		response, err := pool.Exchange(t.Context(), target, newRequest("1"))
		if err != nil || string(response.Body) != "own" {
			t.Fatalf("response %v, error %v, want body %q", response, err, "own")
		}
	}
	if accepted.Load() != 2 {
		t.Errorf("endpoint accepted %d connections, want 2", accepted.Load())
	}
}

// TestExchangeUnsolicitedBytes guards against returning bytes that follow a
// complete response as the start of the next response.
func TestExchangeUnsolicitedBytes(t *testing.T) {
	target, _ := startEndpoint(t, func(c *serverConn) {
		for {
			id, err := c.readRequest()
			if err != nil {
				return
			}
			c.writeResponse(id, "own")
			time.Sleep(20 * time.Millisecond)
			c.writeResponse(id, "extra")
		}
	})
	pool := newPool()
	for _, id := range []string{"1", "2", "3"} {
		response, err := pool.Exchange(t.Context(), target, newRequest(id))
		if err != nil || string(response.Body) != "own" || response.Header.Get("Attempt") != id {
			t.Fatalf("request %s: response %v, error %v", id, response, err)
		}
		time.Sleep(60 * time.Millisecond)
	}
}

// TestExchangeFailures guards against returning a truncated or invalid response,
// and against reporting that a request was not sent although the endpoint may have
// run it.
func TestExchangeFailures(t *testing.T) {
	cases := []struct {
		name  string
		serve func(*serverConn)
		stage http1.Stage
	}{
		{name: "chunk truncated", stage: http1.StageSent, serve: func(c *serverConn) {
			id, _ := c.readRequest()
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt: %s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc", id)
		}},
		{name: "closed without response", stage: http1.StageSent, serve: func(c *serverConn) { _, _ = c.readRequest() }},
		{name: "body shorter than content length", stage: http1.StageSent, serve: func(c *serverConn) {
			id, _ := c.readRequest()
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt: %s\r\nContent-Length: 10\r\n\r\nabc", id)
		}},
		{name: "not HTTP", stage: http1.StageSent, serve: func(c *serverConn) {
			_, _ = c.readRequest()
			_, _ = c.Write([]byte("garbage\r\n\r\n"))
		}},
		{name: "only mismatched responses", stage: http1.StageSent, serve: func(c *serverConn) {
			_, _ = c.readRequest()
			for range 5 {
				c.writeResponse("other", "foreign")
			}
		}},
		{name: "reset in a body without content length", stage: http1.StageSent, serve: func(c *serverConn) {
			id, _ := c.readRequest()
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt: %s\r\n\r\nabc", id)
			time.Sleep(20 * time.Millisecond)
			_ = c.Conn.(*net.TCPConn).SetLinger(0)
		}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			target, _ := startEndpoint(t, test.serve)
			response, err := newPool().Exchange(t.Context(), target, newRequest("1"))
			var exchangeErr *http1.ExchangeError
			if !errors.As(err, &exchangeErr) || exchangeErr.Stage != test.stage {
				t.Errorf("response %v, error %v, want stage %d", response, err, test.stage)
			}
		})
	}
}

// TestExchangeConnectionRefused guards against reporting a request as sent although
// no connection could be opened, which would prevent a safe retry.
func TestExchangeConnectionRefused(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close()
	_, err = newPool().Exchange(t.Context(), savorystep.Endpoint{Address: savorystep.Address(listener.Addr().String())}, newRequest("1"))
	var exchangeErr *http1.ExchangeError
	if !errors.As(err, &exchangeErr) || exchangeErr.Stage != http1.StageDial {
		t.Errorf("error %v, want stage %d", err, http1.StageDial)
	}
}

// TestExchangeEarlyResponse guards against reusing a connection on which the
// endpoint responded before it had read the whole request body. The endpoint
// would read the rest of the body as the next request.
func TestExchangeEarlyResponse(t *testing.T) {
	target, accepted := startEndpoint(t, func(c *serverConn) {
		r, err := http.ReadRequest(c.reader)
		if err != nil {
			return
		}
		if r.ContentLength > 0 {
			c.writeResponse(r.Header.Get("Attempt"), "early")
			time.Sleep(100 * time.Millisecond)
			return
		}
		c.writeResponse(r.Header.Get("Attempt"), "own")
	})
	pool := newPool()
	upload := newRequest("1")
	upload.Method, upload.Body, upload.HasBody = http.MethodPost, make([]byte, 32<<20), true
	response, err := pool.Exchange(t.Context(), target, upload)
	if err != nil || string(response.Body) != "early" {
		t.Fatalf("response %v, error %v, want body %q", response, err, "early")
	}
	response, err = pool.Exchange(t.Context(), target, newRequest("2"))
	if err != nil || string(response.Body) != "own" || accepted.Load() != 2 {
		t.Fatalf("response %v, error %v, %d connections, want body %q on a second connection", response, err, accepted.Load(), "own")
	}
}

// TestExchangeCancelClosesConnection guards against an endpoint that keeps working
// for a caller that has disconnected: the connection must close when the context
// is cancelled.
func TestExchangeCancelClosesConnection(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	connClosed := make(chan struct{})
	target, _ := startEndpoint(t, func(c *serverConn) {
		_, _ = c.readRequest()
		cancel()
		_, _ = c.readRequest()
		close(connClosed)
	})
	if _, err := newPool().Exchange(ctx, target, newRequest("1")); !errors.Is(err, context.Canceled) {
		t.Errorf("error %v, want %v", err, context.Canceled)
	}
	<-connClosed
}

// TestExchangeTimeoutResetsConnection guards against a request that reaches its
// endpoint after the exchange was abandoned. After a normal close, the kernel
// still delivers bytes that a network partition held up, seconds later. Only a
// reset discards them.
func TestExchangeTimeoutResetsConnection(t *testing.T) {
	connClosed := make(chan error, 1)
	target, _ := startEndpoint(t, func(c *serverConn) {
		if _, err := c.readRequest(); err != nil {
			return
		}
		_, err := c.reader.ReadByte()
		connClosed <- err
	})
	var timeoutErr net.Error
	if err := exchangeWithin(t, 20*time.Millisecond, target, newRequest("1")); !errors.As(err, &timeoutErr) || !timeoutErr.Timeout() {
		t.Fatalf("error %v, want a timeout", err)
	}
	if err := <-connClosed; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("endpoint's read failed with %v, want %v", err, syscall.ECONNRESET)
	}
}

// TestExchangeRefusal guards against rejecting an endpoint's refusal, which has no
// signature, and against accepting one without the attempt id of the request.
func TestExchangeRefusal(t *testing.T) {
	for _, test := range []struct {
		name, header string
		isAccepted   bool
	}{
		{name: "with attempt id", header: "Attempt: 1\r\n", isAccepted: true},
		{name: "without attempt id"},
	} {
		t.Run(test.name, func(t *testing.T) {
			target, _ := startEndpoint(t, func(c *serverConn) {
				_, _ = c.readRequest()
				_, _ = c.Write([]byte("HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n" + test.header + "Content-Length: 0\r\n\r\n"))
			})
			response, err := newPool().Exchange(t.Context(), target, newRequest("1"))
			if (err == nil) != test.isAccepted || (err == nil && response.Status != http.StatusServiceUnavailable) {
				t.Errorf("response %v, error %v, want accepted %t with status 503", response, err, test.isAccepted)
			}
		})
	}
}

// TestKeepAliveTimeout guards against sending a request on a connection that the
// endpoint is about to close: a connection with a keep-alive timeout of 1 s must
// not be reused after 500 ms.
func TestKeepAliveTimeout(t *testing.T) {
	target, accepted := startEndpoint(t, func(c *serverConn) {
		for {
			id, err := c.readRequest()
			if err != nil {
				return
			}
			c.writeResponse(id, strings.Repeat("x", 10), "Keep-Alive: timeout=1")
		}
	})
	pool := newPool()
	for range 2 {
		if _, err := pool.Exchange(t.Context(), target, newRequest("1")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(500 * time.Millisecond)
	}
	if accepted.Load() != 2 {
		t.Errorf("endpoint accepted %d connections, want 2", accepted.Load())
	}
}

// TestBeforeSend guards against a request that is written although it was withdrawn
// while its connection was opened, and against one on a kept connection that is asked
// about although nothing can have changed.
func TestBeforeSend(t *testing.T) {
	target, accepted := startEndpoint(t, func(c *serverConn) {
		for {
			id, err := c.readRequest()
			if err != nil {
				return
			}
			c.writeResponse(id, "body")
		}
	})
	pool := newPool()
	errWithdrawn := errors.New("withdrawn")
	asked := 0
	request := newRequest("1")
	request.BeforeSend = func() error { asked++; return errWithdrawn }
	_, err := pool.Exchange(t.Context(), target, request)
	var exchangeErr *http1.ExchangeError
	if !errors.As(err, &exchangeErr) || exchangeErr.Stage != http1.StageUnsent || !errors.Is(err, errWithdrawn) {
		t.Fatalf("error %v, want the one of BeforeSend at stage unsent", err)
	}
	request.BeforeSend = func() error { asked++; return nil }
	for range 2 {
		response, err := pool.Exchange(t.Context(), target, request)
		if err != nil {
			t.Fatal(err)
		}
		response.Release()
	}
	if asked != 2 || accepted.Load() != 2 {
		t.Errorf("BeforeSend was called %d times for %d connections, want 2 for 2", asked, accepted.Load())
	}
}
