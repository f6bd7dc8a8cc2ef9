package upstream

import (
	"time"

	"savorystep"
)

const (
	// forgetPeers is how long after the last word of a peer this instance
	// counts as alone. Until then silence is a fault, not idleness.
	peerSilenceLimit = time.Minute
	// growthDelay is the delay of a request that is refused because a region
	// must not grow faster. At 5% of the slots per second it is about the time
	// in which a region of 20 slots takes one more request.
	failoverRetryDelay = time.Second
)

// admitFailover returns an error if a request must not fail over to a region
// because its caches would meet too much new traffic at once. Moves by a shift
// are not limited here, since a shift has a growth of its own.
func (p *Pool) admitFailover(g *group, decision savorystep.Decision, now time.Time) error {
	if !decision.Failover {
		return nil
	}
	measured := p.countsValidAt(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	own := g.sampleRamp(now, measured)
	if g.ramp.Admit(now, own) {
		return nil
	}
	err := savorystep.NewError(savorystep.KindOverloaded, "region %s takes no more failover of %s for now", g.region, g.service)
	err.RetryDelay = failoverRetryDelay
	return err
}

// measureGrowth gives the ramp a measurement, so that the recent use of the
// region is known when traffic fails over to it, and returns the requests that
// this instance has in flight. The caller holds mu.
func (g *group) sampleRamp(now, measured time.Time) savorystep.Slots {
	load := g.load(now)
	own := savorystep.Slots(0)
	sharers := make(map[savorystep.InstanceID]struct{})
	for _, e := range g.endpoints {
		own += e.ownInFlight
		for id := range e.peerCounts {
			sharers[id] = struct{}{}
		}
	}
	g.ramp.AddSample(now, RampSample{
		MeasuredAt: measured,
		Slots:      load.Slots,
		Used:       load.UsedSlots,
		OwnUsed:    own,
		Senders:    len(sharers) + 1,
	})
	return own
}

// measuredAt returns the time for which the counts of all instances hold: now
// if this instance is alone, else when a peer was last heard.
func (p *Pool) countsValidAt(now time.Time) time.Time {
	p.mu.RLock()
	defer p.mu.RUnlock()
	if p.lastPeerFactAt.IsZero() || now.Sub(p.lastPeerFactAt) > peerSilenceLimit {
		return now
	}
	return p.lastPeerFactAt
}
