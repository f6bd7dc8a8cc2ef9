package ingress

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// headerTimeout bounds the reading of a request's header. Callers stay
	// below the operators' bound, which is a few seconds.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds the reading of a request's header in bytes, four times
	// the operators' bound of 16 KiB. The server's default is 1 MiB for each
	// connection.
	maxHeaderBytes = 64 << 10
	// idleTimeoutMargin is added to the operators' idle timeout, so that a request that
	// leaves at the last moment still finds the connection open.
	idleTimeoutMargin = 500 * time.Millisecond
	// defaultIdleTimeout holds while the configuration states none.
	defaultIdleTimeout = time.Minute
	// drainPollInterval is the time between looks at the requests under way.
	drainPollInterval = 20 * time.Millisecond
)

// A Server serves a front on a listener. Its idle timeout follows the routing.
type Server struct {
	proxy       *Proxy
	listener    net.Listener
	httpServer  *http.Server
	idleTimeout func() time.Duration

	mu         sync.Mutex
	idleTimers map[net.Conn]*time.Timer
}

// NewServer returns a server that does not serve yet.
func NewServer(front *Proxy, listener net.Listener) *Server {
	s := &Server{proxy: front, listener: listener, idleTimers: make(map[net.Conn]*time.Timer)}
	s.idleTimeout = front.idleTimeout
	s.httpServer = &http.Server{Handler: front, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: headerTimeout, ConnState: s.connState}
	return s
}

// idleTimeout returns the idle timeout in force.
func (f *Proxy) idleTimeout() time.Duration {
	if routing := f.config.Router.Routing(); routing != nil && routing.Limits.IdleTimeout > 0 {
		return routing.Limits.IdleTimeout + idleTimeoutMargin
	}
	return defaultIdleTimeout
}

// Serve serves until Stop. The channel yields one value.
func (s *Server) Serve() <-chan error {
	done := make(chan error, 1)
	go func() {
		err := s.httpServer.Serve(s.listener)
		if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
			err = nil
		}
		done <- err
	}()
	return done
}

// connState closes connections that are idle for too long.
func (s *Server) connState(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if timer := s.idleTimers[c]; timer != nil {
		timer.Stop()
		delete(s.idleTimers, c)
	}
	if state == http.StateIdle {
		s.startIdleTimer(c, time.Now())
	}
}

// startIdleTimer sets the timer of an idle connection. The timeout may have grown when it
// ends. The caller holds mu.
func (s *Server) startIdleTimer(c net.Conn, since time.Time) {
	var timer *time.Timer
	timer = time.AfterFunc(s.idleTimeout()-time.Since(since), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.idleTimers[c] != timer {
			return
		}
		delete(s.idleTimers, c)
		if time.Since(since) < s.idleTimeout() {
			s.startIdleTimer(c, since)
			return
		}
		_ = c.Close()
	})
	s.idleTimers[c] = timer
}

// Shutdown ends the server within the given time. Callers are told at once to
// connect elsewhere. In the first half, requests are served; then they are
// refused, and those under way are finished.
func (s *Server) Shutdown(ctx context.Context, within time.Duration) {
	began := time.Now()
	s.proxy.Drain()
	waitUntil(ctx, began.Add(within/2), func() bool { return false })
	s.proxy.RejectRequests()
	_ = s.listener.Close()
	waitUntil(ctx, began.Add(within), func() bool { return s.proxy.InFlight() == 0 })
	if left := s.proxy.InFlight(); left > 0 {
		log.Warningf("%d requests are broken off, since the time for the stop is over", left)
	}
	// Answers that the handlers have finished may still have to be written.
	ctx, cancel := context.WithDeadline(ctx, began.Add(within))
	defer cancel()
	if err := s.httpServer.Shutdown(ctx); err != nil {
		log.Debugf("connections are closed by force: %v", err)
	}
	_ = s.httpServer.Close()
}

// waitUntil waits for a condition until a time.
func waitUntil(ctx context.Context, until time.Time, isMet func() bool) {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for time.Now().Before(until) && !isMet() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
