package http1

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// newConnGrace is how long a connection on which nothing has arrived yet stays open
// during a shutdown. Its first request may be on the way.
const newConnGrace = 5 * time.Second

// A ServerConfig configures a Server. Fields are required unless noted.
type ServerConfig struct {
	// BaseContext is that of http.Server. It is optional.
	BaseContext func(net.Listener) context.Context
	Handler     http.Handler
	// HeaderTimeout bounds the reading of a request's header, and that of its body unless
	// the handler sets another deadline.
	HeaderTimeout time.Duration
	// IdleTimeout returns how long a connection may be idle, zero for no limit. It is
	// asked each time a connection becomes idle.
	IdleTimeout func() time.Duration
	// IdleTimeoutChanged receives a value when the idle timeout may have changed for the
	// connections that are idle already. It is optional.
	IdleTimeoutChanged <-chan struct{}
	MaxHeaderBytes     int
	// OnClose is called before the server closes a connection, with the cause. It is
	// optional.
	OnClose func(CloseCause)
	// TLS is optional.
	TLS *tls.Config
}

// A Server is an HTTP/1.1 server that never closes a connection from which it has read a
// request before the response is written. The goroutine that reads a connection also
// ends its idleness, by a deadline of the read, so that a read returns either a request
// or the end of the connection. http.Server closes idle connections from the goroutine
// that calls Shutdown, and drops a request that is read at this moment.
type Server struct {
	config     ServerConfig
	httpServer *http.Server
	// isClosing is true from the start of a shutdown on, isStopped when the server has
	// closed its listener, and isAborted when it closes all connections at once.
	isClosing, isStopped, isAborted atomic.Bool
	// served is closed when the server accepts no more connections.
	served chan struct{}

	mu       sync.Mutex
	listener net.Listener
	conns    map[*serverConn]struct{}
	// drained is closed when the last connection ends during a shutdown.
	drained chan struct{}
}

// NewServer returns a server that accepts no connections before Serve.
func NewServer(config ServerConfig) *Server {
	s := &Server{config: config, conns: make(map[*serverConn]struct{}), served: make(chan struct{}), drained: make(chan struct{})}
	s.httpServer = &http.Server{
		Handler:           http.HandlerFunc(s.serveHTTP),
		MaxHeaderBytes:    config.MaxHeaderBytes,
		ReadHeaderTimeout: config.HeaderTimeout,
		BaseContext:       config.BaseContext,
		ConnContext:       withConn,
		ConnState:         s.connState,
	}
	return s
}

// Serve serves the connections of a listener in a goroutine. It must be called once. The
// channel receives one value when the listener is closed: nil if the server closed it,
// otherwise the error.
func (s *Server) Serve(listener net.Listener) <-chan error {
	s.mu.Lock()
	s.listener = listener
	s.mu.Unlock()
	tracked := net.Listener(&serverListener{Listener: listener, server: s})
	if s.config.TLS != nil {
		tracked = tls.NewListener(tracked, s.config.TLS)
	}
	done := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithCancel(context.Background())
		watcherDone := s.watchIdleTimeout(ctx)
		err := s.httpServer.Serve(tracked)
		cancel()
		<-watcherDone
		if s.isStopped.Load() {
			err = nil
		}
		close(s.served)
		done <- err
	}()
	return done
}

// StopAccepting closes the listener. Open connections are served as before.
func (s *Server) StopAccepting() {
	s.isStopped.Store(true)
	s.mu.Lock()
	listener := s.listener
	s.mu.Unlock()
	if listener != nil {
		_ = listener.Close()
		<-s.served
	}
}

// Shutdown closes the listener and waits until each connection has ended after its
// request in flight, if any. If ctx ends before, it returns the error of ctx and leaves
// the connections open.
func (s *Server) Shutdown(ctx context.Context) error {
	s.StopAccepting()
	s.isClosing.Store(true)
	s.updateDeadlines()
	s.mu.Lock()
	s.checkDrained()
	s.mu.Unlock()
	select {
	case <-s.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close closes the listener and all connections at once, also those with a request in
// flight.
func (s *Server) Close() error {
	s.isStopped.Store(true)
	s.isClosing.Store(true)
	s.isAborted.Store(true)
	now := time.Now()
	for _, c := range s.openConns() {
		c.recordClosing(now, CloseShutdown)
	}
	return s.httpServer.Close()
}

// OpenConns returns the number of open connections.
func (s *Server) OpenConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// serveHTTP calls the handler. During a shutdown the connection is closed after the
// response.
func (s *Server) serveHTTP(w http.ResponseWriter, r *http.Request) {
	if s.isClosing.Load() {
		w.Header().Set("Connection", "close")
	}
	if r.Body != http.NoBody {
		// net/http reads the body that the handler leaves, before or after the response. It
		// removes the deadline at the end of the body.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(s.config.HeaderTimeout))
	}
	s.config.Handler.ServeHTTP(w, r)
	if c, ok := r.Context().Value(connKey{}).(net.Conn); ok {
		if owned := serverConnOf(c); owned != nil && s.isTracked(owned) {
			owned.isAnswered.Store(true)
		}
	}
}

// connState records the state of a connection. net/http calls it from the goroutine that
// reads the connection, except with StateNew.
func (s *Server) connState(c net.Conn, state http.ConnState) {
	owned := serverConnOf(c)
	if owned == nil {
		return
	}
	switch state {
	case http.StateActive:
		owned.becomeActive()
	case http.StateIdle:
		owned.becomeIdle(time.Now())
	case http.StateClosed, http.StateHijacked:
		s.forget(owned)
	default:
	}
}

// track adds an accepted connection.
func (s *Server) track(c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
}

// isTracked reports whether a connection is one of HTTP and has not ended.
func (s *Server) isTracked(c *serverConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.conns[c]
	return ok
}

// forget removes a connection that has ended or is no longer one of HTTP.
func (s *Server) forget(c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	if s.isClosing.Load() {
		s.checkDrained()
	}
}

// checkDrained closes drained once there is no connection. Shutdown calls it first when
// no further connection can come. The caller holds mu.
func (s *Server) checkDrained() {
	if len(s.conns) > 0 {
		return
	}
	select {
	case <-s.drained:
	default:
		close(s.drained)
	}
}

// openConns returns the open connections.
func (s *Server) openConns() []*serverConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*serverConn, 0, len(s.conns))
	for c := range s.conns {
		list = append(list, c)
	}
	return list
}

// updateDeadlines applies the present idle timeout, or a shutdown, to the connections
// that wait for a request.
func (s *Server) updateDeadlines() {
	for _, c := range s.openConns() {
		c.updateDeadline()
	}
}

// watchIdleTimeout applies changes of the idle timeout until ctx ends.
func (s *Server) watchIdleTimeout(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-ctx.Done():
				return
			case <-s.config.IdleTimeoutChanged:
				s.updateDeadlines()
			}
		}
	}()
	return done
}

// idleTimeout returns the idle timeout in force, zero for no limit.
func (s *Server) idleTimeout() time.Duration {
	if s.config.IdleTimeout == nil {
		return 0
	}
	return s.config.IdleTimeout()
}

// closing calls OnClose.
func (s *Server) closing(cause CloseCause) {
	if s.config.OnClose != nil {
		s.config.OnClose(cause)
	}
}
