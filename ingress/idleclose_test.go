package ingress_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"savorystep"
	"savorystep/ingress"
)

// idleLimit is the operators' idle timeout in the tests of idle connections.
const idleLimit = 10 * time.Millisecond

// limitIdle puts a routing in force that is like the present one, with an idle timeout
// and with the next revision.
func limitIdle(router *ingress.Router, timeout time.Duration) {
	current := router.Routing()
	limits := current.Limits
	limits.IdleTimeout = timeout
	router.SetRouting(savorystep.NewRouting(current.Revision+1, current.Routes, current.Services, limits))
}

// A heldConn is a connection that delays what it has read. If a read returns bytes while
// isHeld is set, it reports that on received and waits for release. Reads of a single byte
// are not held: the server makes them while a handler runs.
type heldConn struct {
	net.Conn
	isHeld            atomic.Bool
	received, release chan struct{}
}

func (c *heldConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && len(p) > 1 && c.isHeld.CompareAndSwap(true, false) {
		close(c.received)
		<-c.release
	}
	return n, err
}

// A heldListener accepts its first connection as a heldConn, which it sends to first.
type heldListener struct {
	net.Listener
	first chan *heldConn
}

func (l *heldListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	held := &heldConn{Conn: c, received: make(chan struct{}), release: make(chan struct{})}
	select {
	case l.first <- held:
		return held, nil
	default:
		return c, nil
	}
}

// waitForIdleClose opens a connection, sends a request and waits until the server closes
// the connection because it is idle.
func waitForIdleClose(t *testing.T, address string) {
	t.Helper()
	c, reader := dial(t, address)
	roundTrip(t, c, reader, "/safe/witness")
	if _, err := reader.ReadByte(); err == nil {
		t.Fatal("a byte on an idle connection, want its end")
	}
}

// TestIdleTimeoutDuringRead guards against LOST: a request that is read from a kept
// connection just as the idle timeout passes is passed on, and the connection closed
// without an answer.
func TestIdleTimeoutDuringRead(t *testing.T) {
	proxy, transport, router := newPatientProxy(t, "ok")
	limitIdle(router, idleLimit)
	inner, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := &heldListener{Listener: inner, first: make(chan *heldConn, 1)}
	server := ingress.NewServer(proxy, listener)
	server.Serve()
	c, reader := dial(t, inner.Addr().String())
	roundTrip(t, c, reader, "/safe/first")
	held := <-listener.first
	held.isHeld.Store(true)
	if _, err := io.WriteString(c, "GET /safe/second HTTP/1.1\r\nHost: h\r\nAttempt: 1\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-held.received
	// Connections that became idle later are closed after the idle timeout, so that of
	// the held one has passed.
	for range 3 {
		waitForIdleClose(t, inner.Addr().String())
	}
	sentBefore := len(transport.requests())
	close(held.release)
	response, err := http.ReadResponse(reader, nil)
	if err == nil {
		_ = response.Body.Close()
		return
	}
	// The request may cross the close if it is not passed on. Another request that is
	// answered gives the server time to do so.
	other, otherReader := dial(t, inner.Addr().String())
	roundTrip(t, other, otherReader, "/safe/other")
	if passedOn := len(transport.requests()) - sentBefore - 1; passedOn > 0 {
		t.Errorf("the connection ended without an answer (%v), %d requests from it were passed on, want 0", err, passedOn)
	}
}

// TestRequestsAtIdleTimeout guards against LOST under load: many callers send on kept
// connections at about the moment at which these are closed as idle. A request may cross
// the close unread, but one that is passed on must be answered.
func TestRequestsAtIdleTimeout(t *testing.T) {
	const callers, rounds = 200, 3
	proxy, transport, router := newPatientProxy(t, "ok")
	limitIdle(router, idleLimit)
	_, address := startServer(t, proxy)
	type result struct {
		target string
		err    error
	}
	results := make(chan result, callers*rounds)
	for i := range callers {
		go func() {
			for round := range rounds {
				target := fmt.Sprintf("/safe/%d-%d", i, round)
				results <- result{target: target, err: sendAtIdleTimeout(t.Context(), address, target, time.Duration(i%20-10)*100*time.Microsecond)}
			}
		}()
	}
	unanswered := make(map[string]error)
	for range callers * rounds {
		if r := <-results; r.err != nil {
			unanswered[r.target] = r.err
		}
	}
	lost := 0
	for _, sent := range transport.requests() {
		if err := unanswered[sent.target]; err != nil {
			lost++
			t.Logf("request %s was passed on and got no answer: %v", sent.target, err)
		}
	}
	t.Logf("%d of %d requests crossed the close, %d were lost", len(unanswered)-lost, callers*rounds, lost)
	if lost > 0 {
		t.Errorf("%d requests were passed on and got no answer, want 0", lost)
	}
}

// idleTimeoutMargin is what the server adds to the operators' idle timeout.
const idleTimeoutMargin = 500 * time.Millisecond

// sendAtIdleTimeout sends a request on a new connection, and a second one for target when
// the first one's response is older than the idle timeout by offset. It returns an error if
// the second request gets no response.
func sendAtIdleTimeout(ctx context.Context, address, target string, offset time.Duration) error {
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	send := func(target string) error {
		if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\nAttempt: %s\r\n\r\n", target, target); err != nil {
			return err
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, response.Body)
		return errors.Join(err, response.Body.Close())
	}
	if err := send("/safe/first"); err != nil {
		return err
	}
	time.Sleep(idleTimeoutMargin + idleLimit + offset)
	return send(target)
}
