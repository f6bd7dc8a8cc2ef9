package ingress_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"savorystep"
	"savorystep/http1"
	"savorystep/ingress"
)

// startServer serves a front and returns its address.
func startServer(t *testing.T, front *ingress.Proxy) (*ingress.Server, string) {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := ingress.NewServer(front, listener)
	server.Serve()
	return server, listener.Addr().String()
}

// An answer is what a caller sees of a response.
type answer struct {
	status int
	// closes is true if the caller is told to connect elsewhere.
	closes bool
}

// ask sends a request on a connection and returns the answer.
func ask(t *testing.T, c net.Conn, reader *bufio.Reader, path string) answer {
	t.Helper()
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\nAttempt: 1\r\n\r\n", path); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		t.Fatal(err)
	}
	return answer{status: response.StatusCode, closes: response.Close}
}

func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c, bufio.NewReader(c)
}

// TestStopFinishesRequests guards against a planned stop that breaks off what
// was read: a request under way is answered, an open connection is served and
// told to close, and a late request is refused with a promise.
func TestStopFinishesRequests(t *testing.T) {
	front, sender, _ := newFront(t, "ok", "block", "ok")
	server, address := startServer(t, front)
	idle, idleReader := dial(t, address)
	ask(t, idle, idleReader, "/once/1")
	busy, busyReader := dial(t, address)
	answered := make(chan answer, 1)
	go func() { answered <- ask(t, busy, busyReader, "/once/2") }()
	for len(sender.requests()) < 2 {
		time.Sleep(time.Millisecond)
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		server.Shutdown(context.Background(), 4*time.Second)
	}()
	// The stop has two seconds in which open connections are served.
	var last answer
	for !last.closes {
		c, reader := dial(t, address)
		last = ask(t, c, reader, "/once/3")
	}
	if last.status != http.StatusOK {
		t.Errorf("status %d while the instance leaves", last.status)
	}
	if response := ask(t, idle, idleReader, "/once/4"); response.status != http.StatusOK {
		t.Errorf("status %d on an open connection", response.status)
	}
	select {
	case <-stopped:
		t.Fatal("stopped with a request under way")
	case <-time.After(2500 * time.Millisecond):
	}
	close(sender.block)
	if response := <-answered; response.status != http.StatusOK {
		t.Errorf("status %d for the request under way", response.status)
	}
	<-stopped
}

// TestCallerEndlessHead guards against callers whose heads take up the memory:
// a head without end is refused at the bound, and the connection ends.
func TestCallerEndlessHead(t *testing.T) {
	for _, test := range []struct{ name, once, again string }{
		{name: "header line", once: "GET /safe/x HTTP/1.1\r\nHost: h\r\nA: ", again: "xxxxxxxxxxxxxxxx"},
		{name: "header lines", once: "GET /safe/x HTTP/1.1\r\nHost: h\r\n", again: "A: b\r\n"},
		{name: "request line", once: "GET /", again: "xxxxxxxxxxxxxxxx"},
	} {
		t.Run(test.name, func(t *testing.T) {
			front, sender, _ := newFront(t, "ok")
			_, address := startServer(t, front)
			c, reader := dial(t, address)
			go func() {
				_, err := c.Write([]byte(test.once))
				again := []byte(strings.Repeat(test.again, 256))
				for err == nil {
					_, err = c.Write(again)
				}
			}()
			response, err := http.ReadResponse(reader, nil)
			// The refusal may be lost, since unread bytes reset the connection.
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
					t.Errorf("status %d, want 431", response.StatusCode)
				}
			}
			if sent := sender.requests(); len(sent) > 0 {
				t.Errorf("%d requests reached an endpoint", len(sent))
			}
		})
	}
}

// A heldListener accepts connections whose writes wait for release.
type heldListener struct {
	net.Listener
	release chan struct{}
}

func (l *heldListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &heldConn{Conn: c, release: l.release}, nil
}

// A heldConn is a connection whose writes wait for release.
type heldConn struct {
	net.Conn
	release chan struct{}
}

func (c *heldConn) Write(p []byte) (int, error) {
	<-c.release
	return c.Conn.Write(p)
}

// TestStopWritesAnswers guards against a stop that cuts off an answer which its
// handler has finished and the server has not written yet.
func TestStopWritesAnswers(t *testing.T) {
	front, _, _ := newFront(t, "ok")
	inner, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := &heldListener{Listener: inner, release: make(chan struct{})}
	server := ingress.NewServer(front, listener)
	server.Serve()
	c, reader := dial(t, inner.Addr().String())
	if _, err := io.WriteString(c, "GET /safe/x HTTP/1.1\r\nHost: h\r\nAttempt: 1\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		server.Shutdown(context.Background(), 6*time.Second)
	}()
	for {
		other, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", inner.Addr().String())
		if err != nil {
			break
		}
		_ = other.Close()
		time.Sleep(5 * time.Millisecond)
	}
	// The instance no longer listens, and no request is under way.
	time.Sleep(100 * time.Millisecond)
	close(listener.release)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatalf("the answer was cut off: %v", err)
	}
	defer func() { _ = response.Body.Close() }()
	if body, err := io.ReadAll(response.Body); err != nil || string(body) != "body" {
		t.Errorf("body %q, %v", body, err)
	}
	<-stopped
}

// TestSlowBodyEnds guards against callers who hold memory for ever with bodies
// that do not come: the request ends with its deadline and has not run.
func TestSlowBodyEnds(t *testing.T) {
	front, sender, _ := newFront(t, "ok")
	_, address := startServer(t, front)
	c, reader := dial(t, address)
	if _, err := io.WriteString(c, "POST /once/x HTTP/1.1\r\nHost: h\r\nAttempt: 1\r\nDeadline: 100\r\nContent-Length: 10\r\n\r\nx"); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusRequestTimeout || !response.Close || len(sender.requests()) > 0 {
		t.Errorf("status %d, closes %v, %d sends", response.StatusCode, response.Close, len(sender.requests()))
	}
}

// A largeSender answers with a body that no socket buffer holds.
type largeSender struct{}

func (largeSender) Exchange(context.Context, savorystep.Endpoint, *http1.Request) (*http1.Response, error) {
	return &http1.Response{Status: http.StatusOK, Header: http.Header{"Signature": {"s"}}, Body: make([]byte, 64<<20)}, nil
}

// TestUnreadAnswerEnds guards against callers who hold memory for ever with
// answers that they do not read.
func TestUnreadAnswerEnds(t *testing.T) {
	_, _, steering := newFront(t, "ok")
	front := ingress.NewProxy(ingress.ProxyConfig{
		ResponseWriteTimeout: 50 * time.Millisecond, Clock: savorystep.SystemClock{}, HeaderNames: names, Quarantine: ingress.NewQuarantine(&fakeFacts{}),
		Place: savorystep.Place{Region: "r", Zone: "z"}, Transport: largeSender{}, Router: steering,
	})
	_, address := startServer(t, front)
	c, reader := dial(t, address)
	if _, err := io.WriteString(c, "GET /safe/x HTTP/1.1\r\nHost: h\r\nAttempt: 1\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	// The first byte shows that the request is being answered.
	if _, err := reader.ReadByte(); err != nil {
		t.Fatal(err)
	}
	for front.InFlight() > 0 {
		time.Sleep(time.Millisecond)
	}
	response, err := http.ReadResponse(bufio.NewReader(io.MultiReader(strings.NewReader("H"), reader)), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if n, err := io.Copy(io.Discard, response.Body); err == nil {
		t.Errorf("an answer of %d bytes looks whole", n)
	}
}

// TestHalfClosedCaller guards against an empty success for a caller that closes
// its side of the connection and still waits for the answer: the server takes it
// for gone.
func TestHalfClosedCaller(t *testing.T) {
	front, sender, _ := newFront(t, "silent")
	_, address := startServer(t, front)
	c, reader := dial(t, address)
	if _, err := io.WriteString(c, "GET /once/x HTTP/1.1\r\nHost: h\r\nAttempt: 1\r\nDeadline: 60000\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	for len(sender.requests()) == 0 {
		time.Sleep(time.Millisecond)
	}
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode < http.StatusInternalServerError || response.StatusCode == http.StatusServiceUnavailable {
		t.Errorf("status %d for a request that may have run", response.StatusCode)
	}
}
