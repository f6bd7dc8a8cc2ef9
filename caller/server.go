package caller

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"savorystep"
)

// log is the log of this package.
const log = savorystep.Logger("caller")

var _ savorystep.Runner = &UnknownNamePublisher{}

// A Server serves callers on one listener.
type Server struct {
	ServerConfig
	lookups  *rate.Limiter
	metrics  *Metrics
	leaving  atomic.Bool
	meter    Meter
	inFlight atomic.Int64
}

// ServerConfig configures a Server.
type ServerConfig struct {
	Clock     savorystep.Clock
	Forwarder savorystep.Forwarder
	Limits    Limits
	// Ready reports whether this instance may serve.
	Ready        func() bool
	Recorder     savorystep.EventRecorder
	Registry     prometheus.Registerer
	Resolver     *Resolver
	UnknownNames *UnknownNameCounter
	Config       savorystep.Config
}

// NewServer returns a server.
func NewServer(config ServerConfig) *Server {
	config.Limits = config.Limits.withDefaults()
	lookups := config.Limits.MaxLookupsPerSecond
	return &Server{
		ServerConfig: config,
		lookups:      rate.NewLimiter(rate.Limit(lookups), int(lookups)),
		metrics:      NewMetrics(config.Registry),
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

// RequestRate returns the requests served per second at the given time.
func (s *Server) RequestRate(now time.Time) float64 {
	return s.meter.Rate(now)
}

// InFlight returns how many requests are in flight.
func (s *Server) InFlight() int64 {
	return s.inFlight.Load()
}

// Serve serves callers until ctx ends. It then goes on for the lifetime of
// lookups, since callers may still hold an answer that names this instance,
// and waits for the requests in flight. The channel yields the reason for the
// end.
func (s *Server) Serve(ctx context.Context, listener net.Listener) <-chan error {
	done := make(chan error, 1)
	server := &http.Server{
		Handler:           s.Handler(),
		MaxHeaderBytes:    s.Limits.MaxHeaderBytes,
		ReadHeaderTimeout: s.Limits.StallTimeout,
		IdleTimeout:       2 * time.Minute,
		BaseContext:       func(net.Listener) context.Context { return context.WithoutCancel(ctx) },
	}
	ended := make(chan error, 1)
	go func() {
		ended <- server.Serve(NewLimitListener(listener, s.Limits.MaxConnections))
	}()
	go func() {
		select {
		case err := <-ended:
			done <- err
		case <-ctx.Done():
			done <- s.drain(server)
		}
	}()
	return done
}

// drain stops the server without interrupting requests.
func (s *Server) drain(server *http.Server) error {
	s.leaving.Store(true)
	log.Infof("Leaving; %d requests in flight.", s.inFlight.Load())
	time.Sleep(s.Limits.ShutdownDelay)
	limited, cancel := context.WithTimeout(context.Background(), s.Limits.DrainTimeout)
	defer cancel()
	err := server.Shutdown(limited)
	log.Infof("Stopped; %d requests in flight.", s.inFlight.Load())
	return err
}

// serveHealth reports that the process works.
func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusNoContent)
}

// serveLookup answers a lookup.
func (s *Server) serveLookup(w http.ResponseWriter, r *http.Request) {
	now := s.Clock.Now()
	if !s.lookups.AllowN(now, 1) {
		s.refuse(w, savorystep.NewError(savorystep.KindOverloaded, "too many lookups"))
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

// lookup makes the answer to a lookup.
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

// checkReady refuses callers while this instance is not ready or behind the
// revision that a caller has seen, so that no caller sees a revision go down.
func (s *Server) checkReady(seen string) error {
	if !s.Ready() {
		return savorystep.NewError(savorystep.KindNotReady, "this instance has no current configuration yet")
	}
	revision, err := parseRevision(seen)
	if err != nil {
		return err
	}
	if own := s.Config.View().Revision; own < revision {
		return savorystep.NewError(savorystep.KindNotReady, "this instance has revision %d in force, the caller has seen %d", own, revision)
	}
	return nil
}

// remoteAddr returns the IP number of the caller.
func remoteAddr(r *http.Request) netip.Addr {
	parsed, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return netip.Addr{}
	}
	return parsed.Addr().Unmap()
}
