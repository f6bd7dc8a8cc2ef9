package caller

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"savorystep"
	"savorystep/http1"
)

// log writes the log lines of this package.
const log = savorystep.Logger("caller")

// idleTimeout is how long a caller's connection may be idle. It is above that of the
// entry client, one minute.
const idleTimeout = 2 * time.Minute

var _ savorystep.Runner = &UnknownNamePublisher{}

// A Server serves the callers of this instance on one listener.
type Server struct {
	ServerConfig
	lookupLimiter *rate.Limiter
	metrics       *Metrics
	draining      atomic.Bool
	requestMeter  Meter
	inFlight      atomic.Int64
}

// ServerConfig configures a Server.
type ServerConfig struct {
	Clock     savorystep.Clock
	Forwarder savorystep.Forwarder
	Limits    Limits
	// Ready reports whether this instance may serve callers.
	Ready        func() bool
	Recorder     savorystep.EventRecorder
	Registry     prometheus.Registerer
	Resolver     *Resolver
	UnknownNames *UnknownNameCounter
	Config       savorystep.Config
}

// NewServer returns a server with the default in place of each limit that is not set.
func NewServer(config ServerConfig) *Server {
	config.Limits = config.Limits.withDefaults()
	lookups := config.Limits.MaxLookupsPerSecond
	return &Server{
		ServerConfig:  config,
		lookupLimiter: rate.NewLimiter(rate.Limit(lookups), int(lookups)),
		metrics:       NewMetrics(config.Registry),
	}
}

// Handler returns the HTTP handler of the server.
func (s *Server) Handler() http.Handler {
	router := chi.NewRouter()
	router.Get("/v1/lookup", s.serveLookup)
	router.Get("/healthz", s.serveHealth)
	router.HandleFunc("/s/{name}", s.serveRequest)
	router.HandleFunc("/s/{name}/*", s.serveRequest)
	return router
}

// RequestRate returns the moving average, at the given time, of the requests per
// second for which a response was received from an upstream.
func (s *Server) RequestRate(now time.Time) float64 {
	return s.requestMeter.Rate(now)
}

// InFlight returns the number of callers' requests in flight, lookups not included.
func (s *Server) InFlight() int64 {
	return s.inFlight.Load()
}

// Serve serves callers until ctx is done, then shuts down gracefully: it accepts
// requests for another Limits.ShutdownDelay, since callers may have cached a lookup
// response that names this instance, and then waits up to Limits.DrainTimeout for the
// requests in flight. The channel receives one value when the server has stopped: nil
// after a complete drain, otherwise the error.
func (s *Server) Serve(ctx context.Context, listener net.Listener) <-chan error {
	done := make(chan error, 1)
	server := http1.NewServer(http1.ServerConfig{
		BaseContext:    func(net.Listener) context.Context { return context.WithoutCancel(ctx) },
		Handler:        s.Handler(),
		HeaderTimeout:  s.Limits.StallTimeout,
		IdleTimeout:    func() time.Duration { return idleTimeout },
		MaxHeaderBytes: s.Limits.MaxHeaderBytes,
	})
	served := server.Serve(NewLimitListener(listener, s.Limits.MaxConnections))
	go func() {
		select {
		case err := <-served:
			done <- err
		case <-ctx.Done():
			done <- errors.Join(s.drain(server), <-served)
		}
	}()
	return done
}

// drain shuts the server down without interrupting requests that end within
// Limits.DrainTimeout. Those that last longer continue.
func (s *Server) drain(server *http1.Server) error {
	s.draining.Store(true)
	log.Infof("drain started with %d requests in flight", s.inFlight.Load())
	time.Sleep(s.Limits.ShutdownDelay)
	shutdownCtx, cancel := context.WithTimeout(context.Background(), s.Limits.DrainTimeout)
	defer cancel()
	err := server.Shutdown(shutdownCtx)
	log.Infof("drain ended with %d requests in flight", s.inFlight.Load())
	return err
}

// serveHealth responds with status 204 as long as the process serves HTTP, whether or
// not the instance is ready.
func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusNoContent)
}

// serveLookup answers a lookup. Lookups beyond the rate limit are refused.
func (s *Server) serveLookup(w http.ResponseWriter, r *http.Request) {
	now := s.Clock.Now()
	if !s.lookupLimiter.AllowN(now, 1) {
		s.refuse(w, savorystep.NewError(savorystep.KindOverloaded, "more than %.0f lookups per second", s.Limits.MaxLookupsPerSecond))
		return
	}
	lookup, err := s.lookup(r, now)
	if err != nil {
		s.refuse(w, err)
		return
	}
	s.metrics.lookups.Inc()
	writeJSON(w, http.StatusOK, lookup)
}

// lookup returns the response to the lookup in r. Unknown names are counted.
func (s *Server) lookup(r *http.Request, now time.Time) (savorystep.Lookup, error) {
	query := r.URL.Query()
	name, err := parseName(query.Get("name"))
	if err != nil {
		return savorystep.Lookup{}, err
	}
	if err := s.checkReady(query.Get("revision")); err != nil {
		return savorystep.Lookup{}, err
	}
	origin := s.Resolver.Origin(query.Get("from"), remoteAddr(r))
	lookup, _, err := s.Resolver.Lookup(name, origin, now)
	if savorystep.KindOf(err) == savorystep.KindUnknownName {
		s.UnknownNames.Add(name)
	}
	return lookup, err
}

// checkReady returns a NotReady error if this instance is not ready, or if its
// configuration is older than seenText, the newest revision that the caller has
// received, so that the revision never decreases for a caller.
func (s *Server) checkReady(seenText string) error {
	if !s.Ready() {
		return savorystep.NewError(savorystep.KindNotReady, "this instance is not ready: its configuration or its list of endpoints is not up to date")
	}
	seenRevision, err := parseRevision(seenText)
	if err != nil {
		return err
	}
	if ownRevision := s.Config.View().Revision; ownRevision < seenRevision {
		return savorystep.NewError(savorystep.KindNotReady, "this instance has revision %d, older than revision %d that the caller has received", ownRevision, seenRevision)
	}
	return nil
}

// remoteAddr returns the IP address that r came from. It is the zero Addr if it can't
// be parsed.
func remoteAddr(r *http.Request) netip.Addr {
	parsed, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return netip.Addr{}
	}
	return parsed.Addr().Unmap()
}
