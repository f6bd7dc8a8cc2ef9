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

// ErrCrashed is reported by Serve after an embedded crash.
var ErrCrashed = errors.New("the upstream crashed")

// An Upstream is an HTTP/1.1 server that stands in for one endpoint of an
// upstream service.
type Upstream struct {
	config UpstreamConfig
	server *http.Server
	// slots holds a value for each busy slot.
	slots chan struct{}

	mu       sync.Mutex
	conns    map[*upstreamConn]bool
	listener net.Listener
	crashed  bool
	drained  time.Time
	faults   UpstreamFaults
	// hold is closed when the fault Hold is cleared, nil while it is not set.
	hold    chan struct{}
	history loadHistory
	random  *rand.Rand
	runs    UpstreamStats
	waiting int
}

// NewUpstream returns an upstream that serves once Serve is called.
func NewUpstream(config UpstreamConfig) *Upstream {
	config = config.withDefaults()
	u := &Upstream{
		config: config,
		slots:  make(chan struct{}, config.Slots),
		conns:  make(map[*upstreamConn]bool),
		random: rand.New(rand.NewPCG(config.Seed, 1)),
		runs: UpstreamStats{
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

// Serve answers requests on a listener until ctx is cancelled. It then
// finishes the requests that run. The channel yields nil after a graceful
// stop and ErrCrashed after a crash.
func (u *Upstream) Serve(ctx context.Context, listener net.Listener) <-chan error {
	u.mu.Lock()
	u.listener = listener
	u.mu.Unlock()
	done := make(chan error, 1)
	served := make(chan error, 1)
	go func() { served <- u.server.Serve(&upstreamListener{Listener: listener, owner: u}) }()
	go func() {
		ticker := time.NewTicker(sampleInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				u.sample()
			case <-ctx.Done():
				err := u.server.Shutdown(context.WithoutCancel(ctx))
				if serveErr := <-served; !errors.Is(serveErr, http.ErrServerClosed) {
					err = errors.Join(err, serveErr)
				}
				done <- u.reason(err)
				return
			case err := <-served:
				done <- u.reason(err)
				return
			}
		}
	}()
	return done
}

// SetFaults replaces the faults.
func (u *Upstream) SetFaults(faults UpstreamFaults) {
	u.setFaults(faults, nil)
}

// setFaults replaces the faults. The given connection does not fall silent.
func (u *Upstream) setFaults(faults UpstreamFaults, spared *upstreamConn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if faults.Drain && !u.faults.Drain {
		u.drained = time.Now()
	}
	if faults.Silent {
		for conn := range u.conns {
			conn.silent.Store(conn != spared)
		}
	}
	switch {
	case faults.Hold && u.hold == nil:
		u.hold = make(chan struct{})
	case !faults.Hold && u.hold != nil:
		close(u.hold)
		u.hold = nil
	}
	u.faults = faults
}

// Stats returns the counts of what ran.
func (u *Upstream) Stats() UpstreamStats {
	u.mu.Lock()
	defer u.mu.Unlock()
	runs := u.runs
	runs.RunsByRequest = make(map[savorystep.RequestID]int, len(u.runs.RunsByRequest))
	for id, count := range u.runs.RunsByRequest {
		runs.RunsByRequest[id] = count
	}
	runs.RunsByKey = make(map[savorystep.IdempotencyKey]int, len(u.runs.RunsByKey))
	for key, count := range u.runs.RunsByKey {
		runs.RunsByKey[key] = count
	}
	runs.OpenConnections = len(u.conns)
	return runs
}

// Load returns the true load.
func (u *Upstream) Load() UpstreamLoad {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.load()
}

// Crash ends the process or, if the configuration has no Exit, closes the
// listener and all its connections.
func (u *Upstream) Crash() {
	if u.config.Exit != nil {
		u.config.Exit()
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.crashed = true
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
		Busy:     savorystep.Slots(len(u.slots)),
		Draining: u.faults.Drain,
		Healthy:  true,
	}
}

// sample adds the present load to the history.
func (u *Upstream) sample() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.history.add(u.load())
}

// reason returns ErrCrashed after an embedded crash, else err.
func (u *Upstream) reason(err error) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.crashed {
		return ErrCrashed
	}
	return err
}

// held waits while the fault Hold is set.
func (u *Upstream) held(ctx context.Context) error {
	u.mu.Lock()
	hold := u.hold
	u.mu.Unlock()
	if hold == nil {
		return nil
	}
	select {
	case <-hold:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// admit counts a new connection and reports whether it is within the limit.
func (u *Upstream) admit(conn *upstreamConn) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.crashed || len(u.conns) >= u.config.MaxConnections {
		return false
	}
	u.conns[conn] = true
	u.runs.AcceptedConnections++
	return true
}

// forget removes a closed connection.
func (u *Upstream) forget(conn *upstreamConn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.conns, conn)
}

// serviceTime draws the service time of the next request. The caller holds mu.
func (u *Upstream) serviceTime() time.Duration {
	slow := time.Duration(u.faults.SlowMillis) * time.Millisecond
	if u.config.MeanServiceTime < 0 {
		return slow
	}
	// exp(mu + sigma^2/2) is the mean of a log-normal distribution.
	sigma := u.config.Sigma
	drawn := float64(u.config.MeanServiceTime) * math.Exp(u.random.NormFloat64()*sigma-sigma*sigma/2)
	if cold := u.config.WarmupRequests; u.runs.Total < cold {
		left := float64(cold-u.runs.Total) / float64(cold)
		drawn *= 1 + (u.config.ColdFactor-1)*left
	}
	return time.Duration(drawn) + slow
}
