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
	// digestInterval is the time between comparisons of digests with one
	// random peer. A digest has 256 bytes, which is 5% of the budget.
	digestInterval = time.Second
	// catchUpInterval is the time between digests of an instance that learned
	// at least catchUpFacts facts since its last digest, so that a new
	// instance asks several peers soon. It asks for statuses, too.
	catchUpInterval = 400 * time.Millisecond
	catchUpFacts    = 16
	// suspectAgain is the least time between two suspicions of an instance
	// that refuted but cannot be reached from here.
	suspectAgain = 10 * time.Second
	// refuteInterval is the least time between two refutations. It is half of
	// the shortest time that others wait for one.
	refuteInterval = 250 * time.Millisecond
)

// A watch is what a monitor knows of one instance.
type watch struct {
	// heard is when a frame last came from it, or when this instance first
	// tried to reach it.
	heard time.Time
	// suspected is when this instance last stated a suspicion, zero if a frame
	// came since.
	suspected time.Time
	// linked is true if there was a connection to it.
	linked bool
}

// runRounds drives the exchange.
func (e *Exchange) runRounds(ctx context.Context) error {
	ticker := time.NewTicker(e.config.GossipInterval)
	defer ticker.Stop()
	var expired, compared time.Time
	last := e.config.Clock.Now()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		e.mu.Lock()
		now := e.config.Clock.Now()
		e.excuse(now.Sub(last) - e.config.GossipInterval)
		last = now
		e.round(now)
		if now.Sub(expired) >= expireInterval {
			expired = now
			e.expire(now)
		}
		interval := digestInterval
		if e.fresh >= catchUpFacts {
			interval = catchUpInterval
			e.fallBehind()
		}
		if now.Sub(compared) >= interval {
			compared = now
			e.fresh = 0
			if chosen := e.chooseLinks(1); len(chosen) > 0 {
				chosen[0].digest = true
				chosen[0].signal()
			}
		}
		e.mu.Unlock()
	}
}

// excuse moves the times of silence by a time in which this process did not
// run. What it did not read in that time is not the silence of others. Without
// this, a busy machine makes instances suspect each other, and the refutations
// keep it busy.
func (e *Exchange) excuse(pause time.Duration) {
	if pause < e.config.HeartbeatInterval/4 {
		return
	}
	for _, l := range e.links {
		l.heard = l.heard.Add(pause)
	}
	for _, w := range e.watches {
		w.heard = w.heard.Add(pause)
	}
}

// round chooses the peers of a round, sends heartbeats, and gives up silent
// connections.
func (e *Exchange) round(now time.Time) {
	for _, l := range e.chooseLinks(e.config.Fanout) {
		l.due = true
		l.signal()
	}
	for id, l := range e.links {
		if now.Sub(l.heard) >= e.config.PeerTimeout {
			l.close(closeSilent, "no frame within the limit")
			continue
		}
		if w := e.watches[id]; w != nil {
			if l.heard.After(w.heard) {
				w.suspected = time.Time{}
			}
			w.heard = l.heard
		}
		if now.Sub(l.sent) >= e.config.HeartbeatInterval-e.config.GossipInterval || l.urgent {
			l.beat = l.beat || now.Sub(l.sent) >= e.config.HeartbeatInterval-e.config.GossipInterval
			l.signal()
		}
	}
	for id, w := range e.watches {
		// A connection is replaced after Silence. The rest of the time is for a
		// new one, so that a connection that went silent causes no suspicion.
		if now.Sub(w.heard) < e.config.PeerTimeout+e.config.HeartbeatInterval/2 || now.Sub(w.suspected) < suspectAgain || e.isIsolated(now) {
			continue
		}
		if entry := e.store.suspect(now, id); entry != nil {
			w.suspected = now
			e.spread(entry, nil)
			e.record(savorystep.EventSuspect, "instance "+string(id)+" is no longer heard")
		}
	}
	e.refute(now)
}

// refute states the status again when others suspect this instance.
func (e *Exchange) refute(now time.Time) {
	if e.store.isSelfSuspected() && now.Sub(e.stated) >= refuteInterval {
		e.stateStatus(now)
		// Those who suspect this instance are mostly its neighbours.
		for _, l := range e.links {
			l.add(factKey{kind: savorystep.FactStatus, instance: e.config.Self.ID})
		}
	}
}

// expire drops old facts and watches of forgotten instances.
func (e *Exchange) expire(now time.Time) {
	e.store.expire(now)
	e.dropGroups()
	for id := range e.watches {
		if e.store.members[id] == nil && e.links[id] == nil {
			delete(e.watches, id)
		}
	}
}

// chooseLinks returns some random links, near ones more often.
func (e *Exchange) chooseLinks(count int) []*link {
	total := 0
	rest := make([]*link, 0, len(e.links))
	for _, l := range e.links {
		rest = append(rest, l)
		total += nearness(e.config.Self.Place, l.peer.Place)
	}
	chosen := make([]*link, 0, count)
	for len(chosen) < count && len(rest) > 0 {
		at := rand.IntN(total) //nolint:gosec // The choice needs no secrecy.
		for i, l := range rest {
			weight := nearness(e.config.Self.Place, l.peer.Place)
			if at >= weight {
				at -= weight
				continue
			}
			chosen = append(chosen, l)
			total -= weight
			rest[i] = rest[len(rest)-1]
			rest = rest[:len(rest)-1]
			break
		}
	}
	return chosen
}

// record records an event. It may be called with mu held, since recorders do
// not call back.
func (e *Exchange) record(kind savorystep.EventKind, text string) {
	if e.config.Recorder != nil {
		e.config.Recorder.Record(savorystep.Event{Kind: kind, Text: text})
	}
}

// Status codes of ended connections.
const (
	closeDuplicate = websocket.StatusCode(4001)
	closeRefused   = websocket.StatusPolicyViolation
	closeSilent    = websocket.StatusCode(4002)
	closeStopping  = websocket.StatusGoingAway
	closeSurplus   = websocket.StatusNormalClosure
	closeBadFrame  = websocket.StatusUnsupportedData
)
