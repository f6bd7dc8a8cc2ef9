package standin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"golang.org/x/time/rate"

	"savorystep"
)

var _ http.Handler = &Platform{}

// A Platform is a stand-in of the platform: it serves the platform's protocol
// from memory. Its faults can be switched with POST /faults, its counters are
// at GET /stats; both work whatever the faults are.
type Platform struct {
	config    PlatformConfig
	router    chi.Router
	instances *memberList[savorystep.Instance]
	endpoints *memberList[savorystep.Endpoint]

	reads, writes, rows, refused atomic.Uint64
	// connections numbers the connections in the order of their opening.
	connections atomic.Uint64

	mu     sync.Mutex
	faults PlatformFaults
	// silent is the number of the last connection that gets no answers.
	silent       uint64
	readLimiter  *rate.Limiter
	writeLimiter *rate.Limiter
	late         sync.WaitGroup
}

// NewPlatform returns a stand-in of the platform.
func NewPlatform(config PlatformConfig) *Platform {
	p := &Platform{
		config:       config.withDefaults(),
		instances:    newMemberList[savorystep.Instance](),
		endpoints:    newMemberList[savorystep.Endpoint](),
		readLimiter:  newLimiter(DefaultMaxReadsPerSecond),
		writeLimiter: newLimiter(DefaultMaxWritesPerSecond),
	}
	p.router = p.newRouter()
	p.SetFaults(config.Faults)
	return p
}

// newLimiter returns a limiter whose burst is a tenth of a second, so that a
// second never sees much more than the rate.
func newLimiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
}

// Faults returns the present faults.
func (p *Platform) Faults() PlatformFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(faults PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, lag := p.config.Clock.Now(), milliseconds(p.faults.ListLagMillis)
	p.instances.setFrozen(now, lag, faults.FreezeLists)
	p.endpoints.setFrozen(now, lag, faults.FreezeLists)
	if faults.Silent && !p.faults.Silent {
		p.silent = p.connections.Load()
	}
	if !faults.Silent {
		p.silent = 0
	}
	setLimit(p.readLimiter, faults.MaxReadsPerSecond, DefaultMaxReadsPerSecond)
	setLimit(p.writeLimiter, faults.MaxWritesPerSecond, DefaultMaxWritesPerSecond)
	p.faults = faults
}

// setLimit sets the calls per second of a limiter.
func setLimit(limiter *rate.Limiter, perSecond, standard float64) {
	if perSecond == 0 {
		perSecond = standard
	}
	limit := rate.Limit(perSecond)
	if perSecond < 0 {
		limit = rate.Inf
	}
	limiter.SetLimit(limit)
	limiter.SetBurst(max(1, int(perSecond/10)))
}

// Stats returns the counters.
func (p *Platform) Stats() PlatformStats {
	return PlatformStats{
		Reads:   p.reads.Load(),
		Writes:  p.writes.Load(),
		Rows:    p.rows.Load(),
		Refused: p.refused.Load(),
	}
}

// ServeHTTP serves one call.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.router.ServeHTTP(w, r)
}

// connectionKey is the context key of a connection's number.
type connectionKey struct{}

// Serve serves connections of the listener until ctx ends and yields the
// reason for the end.
func (p *Platform) Serve(ctx context.Context, listener net.Listener) <-chan error {
	server := &http.Server{
		Handler:           p,
		ReadHeaderTimeout: 10 * time.Second,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, p.connections.Add(1))
		},
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	done := make(chan error, 1)
	go func() {
		var err error
		select {
		case <-ctx.Done():
			_ = server.Close()
			err = <-served
		case err = <-served:
		}
		if errors.Is(err, http.ErrServerClosed) {
			err = nil
		}
		p.late.Wait()
		done <- err
	}()
	return done
}

// isSilent reports whether the request came on a connection that gets no
// answers.
func (p *Platform) isSilent(r *http.Request) bool {
	number, ok := r.Context().Value(connectionKey{}).(uint64)
	p.mu.Lock()
	defer p.mu.Unlock()
	return ok && number <= p.silent
}

func milliseconds(n int) time.Duration {
	return time.Duration(n) * time.Millisecond
}
