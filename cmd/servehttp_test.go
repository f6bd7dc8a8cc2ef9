package cmd

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"savorystep/http1"
)

// A blockingServer is an internal server whose handler blocks requests for /block until
// their context ends or release is closed.
type blockingServer struct {
	*http1.Server
	t                *testing.T
	address          string
	entered, release chan struct{}
}

func startBlockingServer(t *testing.T) *blockingServer {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &blockingServer{t: t, address: listener.Addr().String(), entered: make(chan struct{}), release: make(chan struct{})}
	s.Server = serveHTTP(context.Background(), listener, s, nil)
	return s
}

// ServeHTTP implements http.Handler.
func (s *blockingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/block" {
		close(s.entered)
		select {
		case <-s.release:
		case <-r.Context().Done():
		}
	}
	w.WriteHeader(http.StatusNoContent)
}

// send sends a request on a new connection.
func (s *blockingServer) send(path string) *bufio.Reader {
	s.t.Helper()
	conn, err := (&net.Dialer{}).DialContext(s.t.Context(), "tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = conn.Close() })
	if _, err := io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		s.t.Fatal(err)
	}
	return bufio.NewReader(conn)
}

// receive reads a response without a body and checks its status.
func (s *blockingServer) receive(reader *bufio.Reader) {
	s.t.Helper()
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		s.t.Fatalf("no response to a request in flight: %v", err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		s.t.Errorf("status %d, want %d", response.StatusCode, http.StatusNoContent)
	}
}

// TestShutdownAnswersRequestInFlight guards against a gateway that stops and cuts off the
// lookups in flight, and against a shutdown that waits for idle connections.
func TestShutdownAnswersRequestInFlight(t *testing.T) {
	s := startBlockingServer(t)
	idle := make([]*bufio.Reader, 50)
	for i := range idle {
		idle[i] = s.send("/")
		s.receive(idle[i])
	}
	inFlight := s.send("/block")
	<-s.entered
	done := make(chan struct{})
	go func() {
		defer close(done)
		shutdownServers([]*http1.Server{s.Server}, time.Hour)
	}()
	for _, reader := range idle {
		if b, err := reader.ReadByte(); err == nil {
			t.Errorf("read byte %q of an idle connection, want its end", b)
		}
	}
	close(s.release)
	s.receive(inFlight)
	<-done
}

// TestShutdownEndsStuckRequest guards against a request without end that keeps a process
// from stopping.
func TestShutdownEndsStuckRequest(t *testing.T) {
	s := startBlockingServer(t)
	inFlight := s.send("/block")
	<-s.entered
	shutdownServers([]*http1.Server{s.Server}, time.Millisecond)
	if b, err := inFlight.ReadByte(); err == nil {
		t.Errorf("read byte %q of a stuck request, want the end of its connection", b)
	}
}
