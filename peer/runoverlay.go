package peer

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/coder/websocket"

	"savorystep"
)

const (
	// overlayInterval is the time between checks of the connections.
	overlayInterval = 200 * time.Millisecond
	// probeInterval is the time between attempts to reach one lost instance,
	// which joins the halves of a healed partition.
	probeInterval = 500 * time.Millisecond
	// surplusAfter is how long a connection that is no longer chosen stays.
	surplusAfter = 10 * time.Second
	// refusedHold is how long an instance that refused a connection is not
	// monitored from here. It exceeds the time between two attempts.
	refusedHold = 10 * time.Second
	// maxReserved bounds the connections kept free for chosen peers, so that
	// those who choose this instance cannot take them all.
	maxReserved = 4
	// pollTime bounds one read of the registry.
	pollTime = 5 * time.Second
)

// A dial is the state of connecting to one address.
type dial struct {
	busy     bool
	failures int
	// next is the earliest time of the next attempt.
	next time.Time
	// id is the instance that last answered at the address.
	id savorystep.InstanceID
	// refused is when the instance there last answered that it has enough
	// connections.
	refused time.Time
	// self is true if the address is this instance's own.
	self bool
}

// wakeOverlay makes the overlay check its connections at once.
func (e *Exchange) wakeOverlay() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// runOverlay keeps the connections to the chosen peers.
func (e *Exchange) runOverlay(ctx context.Context) error {
	ticker := time.NewTicker(overlayInterval)
	defer ticker.Stop()
	var probed time.Time
	for {
		e.mu.Lock()
		now := e.config.Clock.Now()
		e.keepNeighbours(ctx, now)
		if now.Sub(probed) >= probeInterval {
			probed = now
			e.probeLost(ctx, now)
		}
		e.mu.Unlock()
		select {
		case <-ticker.C:
		case <-e.wake:
		case <-ctx.Done():
			return nil
		}
	}
}

// candidates returns the instances that this one may connect to.
func (e *Exchange) candidates(now time.Time) []savorystep.Instance {
	candidates := make([]savorystep.Instance, 0, len(e.store.members)+len(e.listed))
	for id, m := range e.store.members {
		if id != e.config.Self.ID && !e.store.isLost(now, id) {
			candidates = append(candidates, m.status.Instance)
		}
	}
	for _, instance := range e.listed {
		_, forgotten := e.store.tombstones[instance.ID]
		if e.store.members[instance.ID] == nil && !forgotten {
			candidates = append(candidates, instance)
		}
	}
	return candidates
}

// keepNeighbours dials the chosen peers that are not connected and ends
// connections that are no longer chosen.
func (e *Exchange) keepNeighbours(ctx context.Context, now time.Time) {
	candidates := e.candidates(now)
	chosen := slices.Concat(
		chooseNeighbours(e.config.Self, candidates, e.config.mesh(), e.config.neighbours()),
		e.keepGroups(now),
	)
	needed := make(map[savorystep.InstanceID]bool, len(chosen))
	absent := 0
	for _, instance := range chosen {
		needed[instance.ID] = true
		if l := e.links[instance.ID]; l != nil {
			l.needed = now
			continue
		}
		absent++
		if d := e.dials[instance.PeerAddress]; e.watches[instance.ID] == nil && (d == nil || now.Sub(d.refused) >= refusedHold) {
			e.watches[instance.ID] = &watch{heard: now}
		}
		e.tryDial(ctx, now, instance.ID, instance.PeerAddress)
	}
	e.reserved = min(absent, maxReserved)
	e.dropWatches(needed)
	if len(e.links) < e.config.neighbours() {
		for _, seed := range e.config.Seeds {
			e.tryDial(ctx, now, "", seed)
		}
	}
	for _, l := range e.links {
		if !l.wanted && now.Sub(l.needed) >= surplusAfter {
			delete(e.watches, l.peer.ID)
			l.close(closeSurplus, "connection is no longer needed")
		}
	}
}

// dropWatches ends the monitoring of instances that are not connected and not
// chosen. One that chose this instance is watched until its loss is stated.
func (e *Exchange) dropWatches(needed map[savorystep.InstanceID]bool) {
	for id, w := range e.watches {
		if !needed[id] && e.links[id] == nil && (!w.linked || !w.suspected.IsZero()) {
			delete(e.watches, id)
		}
	}
}

// probeLost dials one random instance that is lost or forgotten, or a seed.
func (e *Exchange) probeLost(ctx context.Context, now time.Time) {
	var lost []savorystep.Instance
	for id, m := range e.store.members {
		if e.store.isLost(now, id) && e.links[id] == nil {
			lost = append(lost, m.status.Instance)
		}
	}
	for id, g := range e.store.tombstones {
		if g.sequence != endedSequence && e.links[id] == nil {
			lost = append(lost, g.instance)
		}
	}
	for _, seed := range e.config.Seeds {
		if !e.isMemberAt(now, seed) {
			lost = append(lost, savorystep.Instance{PeerAddress: seed})
		}
	}
	if len(lost) > 0 {
		chosen := lost[rand.IntN(len(lost))] //nolint:gosec // The choice needs no secrecy.
		e.tryDial(ctx, now, chosen.ID, chosen.PeerAddress)
	}
}

// isMemberAt reports whether a member that is not lost has a peer address.
func (e *Exchange) isMemberAt(now time.Time, address savorystep.Address) bool {
	for id, m := range e.store.members {
		if m.status.Instance.PeerAddress == address && !e.store.isLost(now, id) {
			return true
		}
	}
	return false
}

// tryDial dials an address in the background unless it is connected, being
// dialed or waiting after a failure.
func (e *Exchange) tryDial(ctx context.Context, now time.Time, id savorystep.InstanceID, address savorystep.Address) {
	if address == "" || address == e.config.Self.PeerAddress || e.tasks == nil || len(e.links) >= e.config.MaxConnections {
		return
	}
	d := e.dials[address]
	if d == nil {
		d = &dial{}
		if id > e.config.Self.ID {
			// Both ends want the connection. The greater ID gives way, so
			// that two dials rarely cross.
			d.next = now
		} else if id != "" {
			d.next = now.Add(overlayInterval)
		}
		e.dials[address] = d
	}
	if d.busy || d.self || now.Before(d.next) || (id == "" && (e.links[d.id] != nil || e.idAt(address) != "")) {
		return
	}
	d.busy = true
	e.tasks.Go(func() error {
		e.settleDial(d, id, address, e.connect(ctx, id, address))
		return nil
	})
}

// settleDial notes the outcome of an attempt to connect.
func (e *Exchange) settleDial(d *dial, id savorystep.InstanceID, address savorystep.Address, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.config.Clock.Now()
	d.busy = false
	if err == nil {
		d.failures = 0
		d.next = now.Add(backoff(0))
		d.id = e.idAt(address)
		return
	}
	if websocket.CloseStatus(err) == closeDuplicate && e.links[id] == nil {
		// The instance runs but has enough connections, so others monitor it.
		delete(e.watches, id)
		d.refused = now
	}
	d.self = errors.Is(err, errSelf)
	wait := backoff(d.failures)
	d.failures++
	d.next = now.Add(wait/2 + rand.N(wait)) //nolint:gosec // The choice needs no secrecy.
	logger.Debugf("connect to %s: %v", address, err)
}

// idAt returns the connected instance with a peer address.
func (e *Exchange) idAt(address savorystep.Address) savorystep.InstanceID {
	for id, l := range e.links {
		if l.peer.PeerAddress == address {
			return id
		}
	}
	return ""
}

// runPoll reads the registry.
func (e *Exchange) runPoll(ctx context.Context) error {
	for {
		e.poll(ctx)
		instances := len(e.Members(e.config.Clock.Now()))
		if !savorystep.Sleep(ctx, savorystep.NextPollDelay(e.config.PollInterval, instances)) {
			return nil
		}
	}
}

// poll reads the registry once. While the platform is down, the last list
// stays.
func (e *Exchange) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTime)
	defer cancel()
	instances, err := e.config.Registry.Instances(ctx)
	if err != nil {
		logger.Debugf("instance list: %v", err)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.config.Clock.Now()
	e.listed = e.listed[:0]
	for _, instance := range instances {
		switch {
		case instance.ID == e.config.Self.ID:
		case instance.State == savorystep.StateEnded:
			e.store.end(now, instance)
		default:
			e.listed = append(e.listed, instance)
		}
	}
}
