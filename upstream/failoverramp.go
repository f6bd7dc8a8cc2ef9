package upstream

import (
	"time"

	"savorystep"
)

const (
	// peerSilenceLimit is the time without a fact from any peer after which
	// this instance regards itself as the only one. Until then, the silence
	// counts as a fault, not as absence of traffic.
	peerSilenceLimit = time.Minute
	// failoverRetryDelay is the retry delay returned with a rejected failover.
	// At 5% of the slots per second, a region of 20 slots admits one more
	// request in about this time.
	failoverRetryDelay = time.Second
)

// admitFailover returns an error if failing over to a region would send too
// much new traffic to its cold caches. Requests moved by a shift are not
// limited here, because a shift has its own growth limit.
func (p *Pool) admitFailover(g *group, decision savorystep.Decision, now time.Time) error {
	if !decision.Failover {
		return nil
	}
	validAt := p.countsValidAt(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	ownInFlight := g.sampleRamp(now, validAt)
	if g.ramp.Admit(now, ownInFlight) {
		return nil
	}
	err := savorystep.NewError(savorystep.KindOverloaded, "failover limit of region %s for service %s is reached", g.region, g.service)
	err.RetryDelay = failoverRetryDelay
	return err
}

// sampleRamp adds a measurement to the ramp, so that the recent use of the
// region is known when traffic fails over to it, and returns this instance's
// requests in flight. The caller holds mu.
func (g *group) sampleRamp(now, validAt time.Time) savorystep.Slots {
	load := g.load(now)
	ownInFlight := savorystep.Slots(0)
	senders := make(map[savorystep.InstanceID]struct{})
	for _, e := range g.endpoints {
		ownInFlight += e.ownInFlight
		for id := range e.peerCounts {
			senders[id] = struct{}{}
		}
	}
	g.ramp.AddSample(now, RampSample{
		MeasuredAt: validAt,
		Slots:      load.Slots,
		Used:       load.UsedSlots,
		OwnUsed:    ownInFlight,
		Senders:    len(senders) + 1,
	})
	return ownInFlight
}

// countsValidAt returns the time for which the counts of all instances are
// valid: now if this instance is the only one, otherwise the time of the last
// fact from a peer.
func (p *Pool) countsValidAt(now time.Time) time.Time {
	p.mu.RLock()
	defer p.mu.RUnlock()
	if p.lastPeerFactAt.IsZero() || now.Sub(p.lastPeerFactAt) > peerSilenceLimit {
		return now
	}
	return p.lastPeerFactAt
}
