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

// A peer is one connection at a scripted endpoint.
type peer struct {
	net.Conn
	reader *bufio.Reader
}

// request reads a request and returns its attempt id.
func (p *peer) request() (string, error) {
	r, err := http.ReadRequest(p.reader)
	if err != nil {
		return "", err
	}
	if r.ContentLength > 0 {
		if _, err := p.reader.Discard(int(r.ContentLength)); err != nil {
			return "", err
		}
	}
	return r.Header.Get("Attempt"), nil
}

func (p *peer) answer(id, body string, extra ...string) {
	lines := append([]string{"HTTP/1.1 200 OK", "Attempt: " + id, fmt.Sprint("Content-Length: ", len(body))}, extra...)
	_, _ = p.Write([]byte(strings.Join(lines, "\r\n") + "\r\n\r\n" + body))
}

// startEndpoint runs serve for each connection of a scripted endpoint.
func startEndpoint(t *testing.T, serve func(*peer)) (savorystep.Endpoint, *atomic.Int64) {
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
				serve(&peer{Conn: c, reader: bufio.NewReader(c)})
			}()
		}
	}()
	return savorystep.Endpoint{ID: "e", Address: savorystep.Address(listener.Addr().String())}, &accepted
}

func newPool() *http1.Pool {
	return http1.NewPool(http1.Config{HeaderNames: savorystep.HeaderNames{AttemptID: "Attempt", NotExecuted: "Not-Run"}})
}

func newRequest(id string) *http1.Request {
	return &http1.Request{
		Method: http.MethodGet, Target: "/a?b=c", Host: "h",
		Header: http.Header{"Attempt": {id}}, AttemptID: savorystep.RequestID(id),
	}
}

// TestExchangeReuses guards against a new connection for each request.
func TestExchangeReuses(t *testing.T) {
	target, accepted := startEndpoint(t, func(p *peer) {
		for {
			id, err := p.request()
			if err != nil {
				return
			}
			p.answer(id, "body of "+id)
		}
	})
	pool := newPool()
	for _, id := range []string{"1", "2", "3"} {
		response, err := pool.Exchange(t.Context(), target, newRequest(id))
		if err != nil || string(response.Body) != "body of "+id {
			t.Fatalf("request %s: %v, %v", id, response, err)
		}
	}
	if accepted.Load() != 1 {
		t.Errorf("%d connections, want 1", accepted.Load())
	}
}

// TestExchangeForeign guards against an answer to an earlier request that is
// taken for the answer to the present one, and against using the connection
// again.
func TestExchangeForeign(t *testing.T) {
	target, accepted := startEndpoint(t, func(p *peer) {
		for {
			id, err := p.request()
			if err != nil {
				return
			}
			p.answer("earlier", "foreign")
			p.answer(id, "own")
		}
	})
	pool := newPool()
	for range 2 {
		response, err := pool.Exchange(t.Context(), target, newRequest("1"))
		if err != nil || string(response.Body) != "own" {
			t.Fatalf("%v, %v", response, err)
		}
	}
	if accepted.Load() != 2 {
		t.Errorf("%d connections, want 2", accepted.Load())
	}
}

// TestExchangeExtra guards against bytes after a whole answer that are taken
// for the start of the next one.
func TestExchangeExtra(t *testing.T) {
	target, _ := startEndpoint(t, func(p *peer) {
		for {
			id, err := p.request()
			if err != nil {
				return
			}
			p.answer(id, "own")
			time.Sleep(20 * time.Millisecond)
			p.answer(id, "extra")
		}
	})
	pool := newPool()
	for _, id := range []string{"1", "2", "3"} {
		response, err := pool.Exchange(t.Context(), target, newRequest(id))
		if err != nil || string(response.Body) != "own" || response.Header.Get("Attempt") != id {
			t.Fatalf("request %s: %v, %v", id, response, err)
		}
		time.Sleep(60 * time.Millisecond)
	}
}

// TestExchangeFailures guards against a part of an answer that looks whole, and
// against a request that may have run and is said not to have.
func TestExchangeFailures(t *testing.T) {
	cases := []struct {
		name  string
		serve func(*peer)
		stage http1.Stage
	}{
		{name: "chunk cut short", stage: http1.StageSent, serve: func(p *peer) {
			id, _ := p.request()
			_, _ = fmt.Fprintf(p, "HTTP/1.1 200 OK\r\nAttempt: %s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc", id)
		}},
		{name: "closed without answer", stage: http1.StageSent, serve: func(p *peer) { _, _ = p.request() }},
		{name: "length not reached", stage: http1.StageSent, serve: func(p *peer) {
			id, _ := p.request()
			_, _ = fmt.Fprintf(p, "HTTP/1.1 200 OK\r\nAttempt: %s\r\nContent-Length: 10\r\n\r\nabc", id)
		}},
		{name: "no answer in the protocol", stage: http1.StageSent, serve: func(p *peer) {
			_, _ = p.request()
			_, _ = p.Write([]byte("garbage\r\n\r\n"))
		}},
		{name: "only foreign answers", stage: http1.StageSent, serve: func(p *peer) {
			_, _ = p.request()
			for range 5 {
				p.answer("other", "foreign")
			}
		}},
		{name: "reset without length", stage: http1.StageSent, serve: func(p *peer) {
			id, _ := p.request()
			_, _ = fmt.Fprintf(p, "HTTP/1.1 200 OK\r\nAttempt: %s\r\n\r\nabc", id)
			time.Sleep(20 * time.Millisecond)
			_ = p.Conn.(*net.TCPConn).SetLinger(0)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			target, _ := startEndpoint(t, c.serve)
			response, err := newPool().Exchange(t.Context(), target, newRequest("1"))
			var failure *http1.ExchangeError
			if !errors.As(err, &failure) || failure.Stage != c.stage {
				t.Errorf("%v, %v, want stage %d", response, err, c.stage)
			}
		})
	}
}

// TestExchangeRefused guards against a request that is said to have been sent
// though no connection could be opened.
func TestExchangeRefused(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close()
	_, err = newPool().Exchange(t.Context(), savorystep.Endpoint{Address: savorystep.Address(listener.Addr().String())}, newRequest("1"))
	var failure *http1.ExchangeError
	if !errors.As(err, &failure) || failure.Stage != http1.StageDial {
		t.Errorf("%v, want no connection", err)
	}
}

// TestExchangeEarlyAnswer guards against the rest of a body being taken for the
// next request: an endpoint may answer before it has read the body.
func TestExchangeEarlyAnswer(t *testing.T) {
	target, accepted := startEndpoint(t, func(p *peer) {
		r, err := http.ReadRequest(p.reader)
		if err != nil {
			return
		}
		if r.ContentLength > 0 {
			p.answer(r.Header.Get("Attempt"), "early")
			time.Sleep(100 * time.Millisecond)
			return
		}
		p.answer(r.Header.Get("Attempt"), "own")
	})
	pool := newPool()
	upload := newRequest("1")
	upload.Method, upload.Body, upload.HasBody = http.MethodPost, make([]byte, 32<<20), true
	response, err := pool.Exchange(t.Context(), target, upload)
	if err != nil || string(response.Body) != "early" {
		t.Fatalf("%v, %v", response, err)
	}
	response, err = pool.Exchange(t.Context(), target, newRequest("2"))
	if err != nil || string(response.Body) != "own" || accepted.Load() != 2 {
		t.Fatalf("%v, %v after %d connections", response, err, accepted.Load())
	}
}

// TestExchangeCancelled guards against an endpoint that works on for a caller
// who left: the connection must end with the context.
func TestExchangeCancelled(t *testing.T) {
	ended := make(chan struct{})
	target, _ := startEndpoint(t, func(p *peer) {
		_, _ = p.request()
		_, _ = p.request()
		close(ended)
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)
	if _, err := newPool().Exchange(ctx, target, newRequest("1")); !errors.Is(err, context.Canceled) {
		t.Errorf("%v, want the cancellation", err)
	}
	<-ended
}

// TestExchangeGivenUpIsReset guards against a request that reaches its endpoint
// after it was given up: what a partition holds up is dropped only if the
// connection is reset, while a plain close still delivers it seconds later.
func TestExchangeGivenUpIsReset(t *testing.T) {
	ended := make(chan error, 1)
	target, _ := startEndpoint(t, func(p *peer) {
		_, _ = p.request()
		_, err := p.reader.ReadByte()
		ended <- err
	})
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if _, err := newPool().Exchange(ctx, target, newRequest("1")); err == nil {
		t.Fatal("answered")
	}
	if err := <-ended; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the connection ended with %v, want a reset", err)
	}
}

// TestExchangeUnnamedRefusal guards against a refusal without attempt id that is
// taken for another request's answer.
func TestExchangeUnnamedRefusal(t *testing.T) {
	target, _ := startEndpoint(t, func(p *peer) {
		_, _ = p.request()
		_, _ = p.Write([]byte("HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"))
	})
	response, err := newPool().Exchange(t.Context(), target, newRequest("1"))
	if err != nil || response.Status != http.StatusServiceUnavailable {
		t.Errorf("%v, %v", response, err)
	}
}

// TestKeepAliveTimeout guards against a request on a connection that the
// endpoint is about to close: a stated timeout of one second ends use well
// before it.
func TestKeepAliveTimeout(t *testing.T) {
	target, accepted := startEndpoint(t, func(p *peer) {
		for {
			id, err := p.request()
			if err != nil {
				return
			}
			p.answer(id, strings.Repeat("x", 10), "Keep-Alive: timeout=1")
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
		t.Errorf("%d connections, want 2", accepted.Load())
	}
}
