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

// A Platform is a stand-in of the platform. It serves the platform's protocol
// from memory. POST /faults replaces its faults and GET /stats returns its
// counters, whatever the faults are.
type Platform struct {
	config    PlatformConfig
	router    chi.Router
	instances *memberList[savorystep.Instance]
	endpoints *memberList[savorystep.Endpoint]

	reads, writes, rows, refused atomic.Uint64
	// connectionCount is the number of connections opened so far. A connection's
	// number is the count after it was opened.
	connectionCount atomic.Uint64

	mu     sync.Mutex
	faults PlatformFaults
	// lastSilentConnection is the number of the last connection without
	// responses, 0 if there is none. All earlier connections have no responses
	// either.
	lastSilentConnection uint64
	readLimiter          *rate.Limiter
	writeLimiter         *rate.Limiter
	// delayedCommits waits for the commits that are still to take effect.
	delayedCommits sync.WaitGroup

	// restoring is held for reading by the calls to the table, so that their
	// responses state the era in which they took effect.
	restoring sync.RWMutex
}

// A restorableTable is a table that can be restored from a copy, see Table.
type restorableTable interface {
	Era() savorystep.StoreEra
	VersionAt(at time.Time) savorystep.RowVersion
	Restore(version savorystep.RowVersion)
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

// newLimiter returns a limiter with a burst of a tenth of the rate per second, so
// that the calls in any second hardly exceed the rate.
func newLimiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
}

// Faults returns the present faults.
func (p *Platform) Faults() PlatformFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// SetFaults replaces all faults.
func (p *Platform) SetFaults(faults PlatformFaults) {
	p.replaceFaults(faults)
	if table, ok := p.config.Table.(restorableTable); ok && faults.RestoreMillis > 0 {
		p.restoring.Lock()
		defer p.restoring.Unlock()
		table.Restore(table.VersionAt(p.config.Clock.Now().Add(-milliseconds(faults.RestoreMillis))))
	}
}

func (p *Platform) replaceFaults(faults PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, lag := p.config.Clock.Now(), milliseconds(p.faults.ListLagMillis)
	p.instances.setFrozen(now, lag, faults.FreezeLists)
	p.endpoints.setFrozen(now, lag, faults.FreezeLists)
	if faults.Silent && !p.faults.Silent {
		p.lastSilentConnection = p.connectionCount.Load()
	}
	if !faults.Silent {
		p.lastSilentConnection = 0
	}
	setLimit(p.readLimiter, faults.MaxReadsPerSecond, DefaultMaxReadsPerSecond)
	setLimit(p.writeLimiter, faults.MaxWritesPerSecond, DefaultMaxWritesPerSecond)
	p.faults = faults
}

// setLimit sets the rate of a limiter. 0 sets the default, a negative rate no
// limit.
func setLimit(limiter *rate.Limiter, perSecond, defaultPerSecond float64) {
	if perSecond == 0 {
		perSecond = defaultPerSecond
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

// ServeHTTP serves a call.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.router.ServeHTTP(w, r)
}

// connectionNumberKey is the context key of the number of a request's connection.
type connectionNumberKey struct{}

// Serve serves the connections of a listener until ctx ends. The channel then
// yields nil once the delayed commits took effect. It yields an error if the
// listener fails.
func (p *Platform) Serve(ctx context.Context, listener net.Listener) <-chan error {
	server := &http.Server{
		Handler:           p,
		ReadHeaderTimeout: 10 * time.Second,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, connectionNumberKey{}, p.connectionCount.Add(1))
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
		p.delayedCommits.Wait()
		done <- err
	}()
	return done
}

// isSilent reports whether a request came on a connection that gets no responses.
func (p *Platform) isSilent(r *http.Request) bool {
	number, ok := r.Context().Value(connectionNumberKey{}).(uint64)
	p.mu.Lock()
	defer p.mu.Unlock()
	return ok && number <= p.lastSilentConnection
}

func milliseconds(n int) time.Duration {
	return time.Duration(n) * time.Millisecond
}
