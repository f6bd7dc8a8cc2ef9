package peer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/coder/websocket"

	"savorystep"
)

const (
	// expireInterval is the time between passes over all facts.
	expireInterval = time.Second
	// digestInterval is the time between digests, each of which is sent to one
	// random peer. A digest has 260 bytes, which is 5% of the default byte
	// budget.
	digestInterval = time.Second
	// catchUpDigestInterval is the time between digests of an instance that has
	// received at least minCatchUpFacts new facts since its last digest. With
	// the shorter interval a new instance sends its digest to several peers
	// soon. Such an instance also requests statuses.
	catchUpDigestInterval = 400 * time.Millisecond
	minCatchUpFacts       = 16
	// suspectInterval is the minimum time between two suspicions of an instance
	// that has refuted the first but can't be reached from here.
	suspectInterval = 10 * time.Second
	// refuteInterval is the minimum time between two refutations. It is half of
	// the shortest refutationTimeout.
	refuteInterval = 250 * time.Millisecond
)

// A monitor is the state of monitoring one instance.
type monitor struct {
	// contactedAt is when a frame last arrived from the instance, or when this
	// instance first tried to connect to it.
	contactedAt time.Time
	// suspectedAt is when this instance last published a suspicion, zero if a
	// frame has arrived since.
	suspectedAt time.Time
	// wasConnected is true if there has been a connection to the instance.
	wasConnected bool
}

// runRounds runs the gossip rounds, expires facts, and sends digests.
func (e *Exchange) runRounds(ctx context.Context) error {
	ticker := time.NewTicker(e.config.GossipInterval)
	defer ticker.Stop()
	var expiredAt, digestAt time.Time
	lastRound := e.config.Clock.Now()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		e.mu.Lock()
		now := e.config.Clock.Now()
		e.extendTimeouts(now.Sub(lastRound) - e.config.GossipInterval)
		lastRound = now
		e.gossip(now)
		if now.Sub(expiredAt) >= expireInterval {
			expiredAt = now
			e.expireState(now)
		}
		interval := digestInterval
		if e.newFacts >= minCatchUpFacts {
			interval = catchUpDigestInterval
			e.requestCatchUp()
		}
		if now.Sub(digestAt) >= interval {
			digestAt = now
			e.newFacts = 0
			if chosen := e.chooseLinks(1); len(chosen) > 0 {
				chosen[0].digestDue = true
				chosen[0].wakeWriter()
			}
		}
		e.mu.Unlock()
	}
}

// extendTimeouts shifts the times of the last contacts by a pause in which this
// process did not run. Frames that it did not read in a pause don't mean that
// its peers are silent. Without this, the instances of a busy machine would
// suspect each other, and the refutations would keep the machine busy.
func (e *Exchange) extendTimeouts(pause time.Duration) {
	if pause < e.config.HeartbeatInterval/4 {
		return
	}
	for _, l := range e.links {
		l.receivedAt = l.receivedAt.Add(pause)
	}
	for _, mon := range e.monitors {
		mon.contactedAt = mon.contactedAt.Add(pause)
	}
}

// gossip runs one gossip round: it chooses the peers of the round, schedules
// heartbeats, closes timed-out connections, suspects monitored instances, and
// refutes suspicions of this one.
func (e *Exchange) gossip(now time.Time) {
	for _, l := range e.chooseLinks(e.config.Fanout) {
		l.gossipDue = true
		l.wakeWriter()
	}
	for id, l := range e.links {
		if now.Sub(l.receivedAt) >= e.config.PeerTimeout {
			l.close(closeTimeout, "no frame within the limit")
			continue
		}
		if mon := e.monitors[id]; mon != nil {
			if l.receivedAt.After(mon.contactedAt) {
				mon.suspectedAt = time.Time{}
			}
			mon.contactedAt = l.receivedAt
		}
		if now.Sub(l.sentAt) >= e.config.HeartbeatInterval-e.config.GossipInterval || l.urgentPending {
			l.heartbeatDue = l.heartbeatDue || now.Sub(l.sentAt) >= e.config.HeartbeatInterval-e.config.GossipInterval
			l.wakeWriter()
		}
	}
	for id, mon := range e.monitors {
		// A timed-out connection is closed after PeerTimeout. The additional
		// time is enough to open a new one, so that a failed connection alone
		// causes no suspicion.
		if now.Sub(mon.contactedAt) < e.config.PeerTimeout+e.config.HeartbeatInterval/2 || now.Sub(mon.suspectedAt) < suspectInterval || e.isIsolated(now) {
			continue
		}
		if entry := e.store.suspect(now, id); entry != nil {
			mon.suspectedAt = now
			e.disseminate(entry, nil)
			e.recordEvent(savorystep.EventSuspect, "instance "+string(id)+" is no longer heard")
		}
	}
	e.refute(now)
}

// refute publishes a new status if others suspect this instance.
func (e *Exchange) refute(now time.Time) {
	if e.store.isSelfSuspected() && now.Sub(e.statusPublishedAt) >= refuteInterval {
		e.publishStatus(now)
		// The instances that report the suspicion are mostly neighbours.
		for _, l := range e.links {
			l.enqueue(factKey{kind: savorystep.FactStatus, instance: e.config.Self.ID})
		}
	}
}

// expireState removes expired facts, unused groups, and the monitors of removed
// instances.
func (e *Exchange) expireState(now time.Time) {
	e.store.expire(now)
	e.dropUnusedGroups()
	for id := range e.monitors {
		if e.store.members[id] == nil && e.links[id] == nil {
			delete(e.monitors, id)
		}
	}
}

// chooseLinks returns up to count random links. Links to closer peers have a
// greater probability.
func (e *Exchange) chooseLinks(count int) []*link {
	total := 0
	remaining := make([]*link, 0, len(e.links))
	for _, l := range e.links {
		remaining = append(remaining, l)
		total += localityWeight(e.config.Self.Place, l.peer.Place)
	}
	chosen := make([]*link, 0, count)
	for len(chosen) < count && len(remaining) > 0 {
		offset := rand.IntN(total) //nolint:gosec // The choice needs no secrecy.
		for i, l := range remaining {
			weight := localityWeight(e.config.Self.Place, l.peer.Place)
			if offset >= weight {
				offset -= weight
				continue
			}
			chosen = append(chosen, l)
			total -= weight
			remaining[i] = remaining[len(remaining)-1]
			remaining = remaining[:len(remaining)-1]
			break
		}
	}
	return chosen
}

// recordEvent records an event. It may be called with mu held, since recorders
// don't call the exchange.
func (e *Exchange) recordEvent(kind savorystep.EventKind, text string) {
	if e.config.Recorder != nil {
		e.config.Recorder.Record(savorystep.Event{Kind: kind, Text: text})
	}
}

// Status codes of closed connections.
const (
	// closeDuplicate means that the two instances are connected already or that
	// the sender has as many connections as it may have.
	closeDuplicate = websocket.StatusCode(4001)
	// closeUnauthorized means that the secret is wrong.
	closeUnauthorized = websocket.StatusPolicyViolation
	// closeTimeout means that no frame arrived within PeerTimeout. The
	// connection is closed without a close frame.
	closeTimeout = websocket.StatusCode(4002)
	// closeStopping means that the sender stops or does not run yet.
	closeStopping = websocket.StatusGoingAway
	// closeSurplus means that the sender does not need the connection or that
	// the connection has ended.
	closeSurplus = websocket.StatusNormalClosure
	// closeBadFrame means that a frame or the handshake was invalid.
	closeBadFrame = websocket.StatusUnsupportedData
)
