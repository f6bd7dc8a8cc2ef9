package upstream_test

import (
	"sync/atomic"
	"testing"
	"time"

	"savorystep/standin"
	"savorystep/upstream"
)

// A jumpingClock is the system clock, moved forward by a time that can be changed.
type jumpingClock struct {
	ahead atomic.Int64
	calls atomic.Int64
}

func (c *jumpingClock) Now() time.Time {
	c.calls.Add(1)
	return time.Now().Add(time.Duration(c.ahead.Load()))
}

// TestStandstillIsNoSilence guards against requests that are cancelled as silent because
// the process stood still, before it has read what arrived meanwhile.
func TestStandstillIsNoSilence(t *testing.T) {
	tb := newTestbed(t)
	a := tb.addUpstream("a", "natal", standin.UpstreamConfig{})
	clock := &jumpingClock{}
	p := tb.newPool(func(config *upstream.Config) {
		config.Clock = clock
		config.Limits.LoadPageInterval = -1
		config.Limits.ProgressTimeout = time.Hour
		config.Limits.OldConnProgressTimeout = time.Hour
	})
	a.SetFaults(standin.UpstreamFaults{Hold: true})
	results := make(chan forwardResult, 1)
	tb.forwardAsync(p, get("r1", "/echo"), results)
	tb.eventually("the request runs", func() bool { return a.Load().Busy == 1 })
	clock.ahead.Store(int64(2 * time.Hour))
	calls := clock.calls.Load()
	tb.eventually("the connections are checked", func() bool { return clock.calls.Load() > calls+50 })
	a.SetFaults(standin.UpstreamFaults{})
	if result := <-results; result.err != nil {
		t.Errorf("request during a standstill of the process: %v", result.err)
	}
}
