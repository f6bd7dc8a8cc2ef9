package standin

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"savorystep"
)

// ErrCrashed is the result of Serve after a crash that closed the listener
// instead of ending the process.
var ErrCrashed = errors.New("upstream crashed")

// An Upstream is an HTTP/1.1 server that stands in for one endpoint of an
// upstream service.
type Upstream struct {
	config UpstreamConfig
	server *http.Server
	// busySlots holds a value for each busy slot.
	busySlots chan struct{}

	mu       sync.Mutex
	conns    map[*upstreamConn]bool
	listener net.Listener
	crashed  bool
	// crashSignal is closed in a crash.
	crashSignal chan struct{}
	// drainingSince is when the fault Drain was last set.
	drainingSince time.Time
	faults        UpstreamFaults
	// released is closed when the fault Hold is cleared. It is nil while Hold is
	// not set.
	released    chan struct{}
	loadHistory loadHistory
	random      *rand.Rand
	stats       UpstreamStats
	// queued is the number of requests that wait for a slot.
	queued int
}

// NewUpstream returns an upstream. It serves requests once Serve is called.
func NewUpstream(config UpstreamConfig) *Upstream {
	config = config.withDefaults()
	u := &Upstream{
		config:      config,
		busySlots:   make(chan struct{}, config.Slots),
		conns:       make(map[*upstreamConn]bool),
		crashSignal: make(chan struct{}),
		random:      rand.New(rand.NewPCG(config.Seed, 1)),
		stats: UpstreamStats{
			RunsByRequest: make(map[savorystep.RequestID]int),
			RunsByKey:     make(map[savorystep.IdempotencyKey]int),
		},
	}
	u.server = &http.Server{
		Handler:           u.routes(),
		ReadHeaderTimeout: time.Minute,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
	}
	return u
}

// connKey is the context key of a request's connection.
type connKey struct{}

// Serve serves requests on a listener until ctx is cancelled, then lets the
// requests in flight finish. The channel yields nil after that, ErrCrashed after
// a crash, or the error of the listener.
func (u *Upstream) Serve(ctx context.Context, listener net.Listener) <-chan error {
	u.mu.Lock()
	u.listener = listener
	u.mu.Unlock()
	done := make(chan error, 1)
	served := make(chan error, 1)
	go func() { served <- u.server.Serve(&upstreamListener{Listener: listener, upstream: u}) }()
	go func() {
		ticker := time.NewTicker(loadSampleInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				u.sampleLoad()
			case <-ctx.Done():
				err := u.server.Shutdown(context.WithoutCancel(ctx))
				if serveErr := <-served; !errors.Is(serveErr, http.ErrServerClosed) {
					err = errors.Join(err, serveErr)
				}
				done <- u.endError(err)
				return
			case err := <-served:
				done <- u.endError(err)
				return
			}
		}
	}()
	return done
}

// SetFaults replaces all faults.
func (u *Upstream) SetFaults(faults UpstreamFaults) {
	u.setFaults(faults, nil)
}

// setFaults replaces all faults. The fault Silent doesn't apply to the connection
// exempt.
func (u *Upstream) setFaults(faults UpstreamFaults, exempt *upstreamConn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if faults.Drain && !u.faults.Drain {
		u.drainingSince = time.Now()
	}
	if faults.Silent {
		for conn := range u.conns {
			conn.silent.Store(conn != exempt)
		}
	}
	switch {
	case faults.Hold && u.released == nil:
		u.released = make(chan struct{})
	case !faults.Hold && u.released != nil:
		close(u.released)
		u.released = nil
	}
	u.faults = faults
}

// Stats returns a copy of the counters.
func (u *Upstream) Stats() UpstreamStats {
	u.mu.Lock()
	defer u.mu.Unlock()
	stats := u.stats
	stats.RunsByRequest = make(map[savorystep.RequestID]int, len(u.stats.RunsByRequest))
	for id, count := range u.stats.RunsByRequest {
		stats.RunsByRequest[id] = count
	}
	stats.RunsByKey = make(map[savorystep.IdempotencyKey]int, len(u.stats.RunsByKey))
	for key, count := range u.stats.RunsByKey {
		stats.RunsByKey[key] = count
	}
	stats.OpenConnections = len(u.conns)
	return stats
}

// Load returns the true load, whatever the faults of the load page are.
func (u *Upstream) Load() UpstreamLoad {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.load()
}

// Crash ends the process with the function Exit of the configuration. Without it,
// Crash closes the listener, resets all connections and ends the wait of held requests.
func (u *Upstream) Crash() {
	if u.config.Exit != nil {
		u.config.Exit()
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.crashed {
		u.crashed = true
		close(u.crashSignal)
	}
	if u.listener != nil {
		_ = u.listener.Close()
	}
	for conn := range u.conns {
		if tcp, ok := conn.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Conn.Close()
	}
}

// load returns the true load. The caller holds mu.
func (u *Upstream) load() UpstreamLoad {
	return UpstreamLoad{
		Slots:    u.config.Slots,
		Busy:     savorystep.Slots(len(u.busySlots)),
		Draining: u.faults.Drain,
		Healthy:  true,
	}
}

// sampleLoad adds the present load to the history.
func (u *Upstream) sampleLoad() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.loadHistory.add(u.load())
}

// endError returns ErrCrashed if the upstream crashed, else err.
func (u *Upstream) endError(err error) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.crashed {
		return ErrCrashed
	}
	return err
}

// waitWhileHeld waits while the fault Hold is set. It returns the error of ctx if
// ctx ends before, and ErrCrashed after a crash.
func (u *Upstream) waitWhileHeld(ctx context.Context) error {
	u.mu.Lock()
	released := u.released
	u.mu.Unlock()
	if released == nil {
		return nil
	}
	select {
	case <-released:
		return nil
	case <-u.crashSignal:
		return ErrCrashed
	case <-ctx.Done():
		return ctx.Err()
	}
}

// addConn adds a new connection. It returns false if the connections are at their
// limit or the upstream crashed.
func (u *Upstream) addConn(conn *upstreamConn) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.crashed || len(u.conns) >= u.config.MaxConnections {
		return false
	}
	u.conns[conn] = true
	u.stats.AcceptedConnections++
	return true
}

// removeConn removes a closed connection.
func (u *Upstream) removeConn(conn *upstreamConn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.conns, conn)
}

// serviceTime returns a random service time for the next request, with the
// slowdown of a cold endpoint and of the fault SlowMillis. The caller holds mu.
func (u *Upstream) serviceTime() time.Duration {
	added := time.Duration(u.faults.SlowMillis) * time.Millisecond
	if u.config.MeanServiceTime < 0 {
		return added
	}
	// The mean of a log-normal distribution is exp(mu + sigma^2/2), so the exponent
	// is lowered by sigma^2/2.
	sigma := u.config.Sigma
	nanos := float64(u.config.MeanServiceTime) * math.Exp(u.random.NormFloat64()*sigma-sigma*sigma/2)
	if warmup := u.config.WarmupRequests; u.stats.Total < warmup {
		remaining := float64(warmup-u.stats.Total) / float64(warmup)
		nanos *= 1 + (u.config.ColdFactor-1)*remaining
	}
	return time.Duration(nanos) + added
}
