package ingress

import (
	"context"
	"net"
	"time"

	"savorystep/http1"
)

const (
	// headerTimeout bounds the reading of a request's header. It is above the
	// limit that operators set for callers, which is a few seconds.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds the reading of a request's header. It is four times the
	// operators' limit of 16 KiB, above which the proxy responds with 431. The
	// default of net/http is 1 MiB for each connection.
	maxHeaderBytes = 64 << 10
	// idleTimeoutMargin is added to the operators' idle timeout, so that a request
	// sent at the last moment still finds the connection open.
	idleTimeoutMargin = 500 * time.Millisecond
	// defaultIdleTimeout applies if the routing states none.
	defaultIdleTimeout = time.Minute
	// drainPollInterval is the interval of the checks whether requests are in
	// flight.
	drainPollInterval = 20 * time.Millisecond
)

// A Server serves a Proxy on a listener. Its idle timeout follows changes of the
// routing, also for connections that are idle already.
type Server struct {
	proxy    *Proxy
	listener net.Listener
	server   *http1.Server
}

// NewServer returns a server for a proxy. It does not accept connections before
// Serve.
func NewServer(proxy *Proxy, listener net.Listener) *Server {
	return &Server{proxy: proxy, listener: listener, server: http1.NewServer(http1.ServerConfig{
		Handler: proxy, HeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
		IdleTimeout: proxy.idleTimeout, IdleTimeoutChanged: proxy.config.Router.routingChanged,
		OnClose: proxy.metrics.countClosedConn,
	})}
}

// idleTimeout returns the idle timeout by the routing in force.
func (p *Proxy) idleTimeout() time.Duration {
	if routing := p.config.Router.Routing(); routing != nil && routing.Limits.IdleTimeout > 0 {
		return routing.Limits.IdleTimeout + idleTimeoutMargin
	}
	return defaultIdleTimeout
}

// Serve starts serving in a goroutine. The channel receives one value when the
// server ends: nil after Shutdown, or else the error of the listener.
func (s *Server) Serve() <-chan error {
	return s.server.Serve(s.listener)
}

// Shutdown stops the server within timeout. During the first half it serves
// requests and closes their connections, so that callers connect to another
// instance. After that it closes the listener, responds to new requests with 503,
// and waits for the requests in flight. A request whose deadline is after the end is
// not sent to an endpoint but gets a 503 at any time.
func (s *Server) Shutdown(ctx context.Context, timeout time.Duration) {
	startedAt := time.Now()
	s.proxy.Drain(startedAt.Add(timeout))
	waitUntil(ctx, startedAt.Add(timeout/2), func() bool { return false })
	s.proxy.RejectRequests()
	s.server.StopAccepting()
	waitUntil(ctx, startedAt.Add(timeout), func() bool { return s.proxy.InFlight() == 0 })
	if remaining := s.proxy.InFlight(); remaining > 0 {
		log.Warningf("shutdown timeout of %v exceeded, aborting %d requests in flight", timeout, remaining)
	}
	// Responses of handlers that have returned may not be written completely yet.
	ctx, cancel := context.WithDeadline(ctx, startedAt.Add(timeout))
	defer cancel()
	if err := s.server.Shutdown(ctx); err != nil {
		log.Debugf("graceful shutdown incomplete, closing connections: %v", err)
	}
	_ = s.server.Close()
}

// waitUntil polls a condition until it is met, the deadline passes or ctx ends.
func waitUntil(ctx context.Context, deadline time.Time, isMet func() bool) {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for time.Now().Before(deadline) && !isMet() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
