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
	// probeInterval is the time between attempts to connect to a lost instance.
	// These attempts reconnect the sides of a healed partition.
	probeInterval = 500 * time.Millisecond
	// surplusLinkTimeout is how long a connection that neither side needs is
	// kept.
	surplusLinkTimeout = 10 * time.Second
	// refusedMonitorPause is how long an instance that refused a connection is
	// not monitored from here. It exceeds the time between two attempts to
	// connect.
	refusedMonitorPause = 10 * time.Second
	// maxReservedLinks limits the connections kept free for chosen peers.
	// Without these, the instances that choose this one could use all
	// connections.
	maxReservedLinks = 4
	// pollTimeout limits one read of the registry.
	pollTimeout = 5 * time.Second
)

// A dialState is the state of connecting to one address.
type dialState struct {
	isDialing bool
	failures  int
	// nextAttempt is the earliest time of the next attempt.
	nextAttempt time.Time
	// lastID is the instance that last answered at the address.
	lastID savorystep.InstanceID
	// refusedAt is when the instance at the address last answered that it has
	// enough connections.
	refusedAt time.Time
	// isSelf is true if the address is this instance's own.
	isSelf bool
}

// wakeOverlay makes runOverlay check the connections immediately.
func (e *Exchange) wakeOverlay() {
	select {
	case e.overlaySignal <- struct{}{}:
	default:
	}
}

// runOverlay maintains the connections to the chosen peers.
func (e *Exchange) runOverlay(ctx context.Context) error {
	ticker := time.NewTicker(overlayInterval)
	defer ticker.Stop()
	var probedAt time.Time
	for {
		e.mu.Lock()
		now := e.config.Clock.Now()
		e.maintainNeighbours(ctx, now)
		if now.Sub(probedAt) >= probeInterval {
			probedAt = now
			e.probeLost(ctx, now)
		}
		e.mu.Unlock()
		select {
		case <-ticker.C:
		case <-e.overlaySignal:
		case <-ctx.Done():
			return nil
		}
	}
}

// candidates returns the instances that this one may connect to.
func (e *Exchange) candidates(now time.Time) []savorystep.Instance {
	candidates := make([]savorystep.Instance, 0, len(e.store.members)+len(e.listedInstances))
	for id, m := range e.store.members {
		if id != e.config.Self.ID && !e.store.isLost(now, id) {
			candidates = append(candidates, m.status.Instance)
		}
	}
	for _, instance := range e.listedInstances {
		_, hasTombstone := e.store.tombstones[instance.ID]
		if e.store.members[instance.ID] == nil && !hasTombstone {
			candidates = append(candidates, instance)
		}
	}
	return candidates
}

// maintainNeighbours dials the chosen peers that are not connected and closes
// connections that neither side needs.
func (e *Exchange) maintainNeighbours(ctx context.Context, now time.Time) {
	candidates := e.candidates(now)
	chosen := slices.Concat(
		chooseNeighbours(e.config.Self, candidates, e.config.fullMeshLimit(), e.config.neighbourCount()),
		e.updateGroups(now),
	)
	neededIDs := make(map[savorystep.InstanceID]bool, len(chosen))
	unconnected := 0
	for _, instance := range chosen {
		neededIDs[instance.ID] = true
		if l := e.links[instance.ID]; l != nil {
			l.neededAt = now
			continue
		}
		unconnected++
		if d := e.dialStates[instance.PeerAddress]; e.monitors[instance.ID] == nil && (d == nil || now.Sub(d.refusedAt) >= refusedMonitorPause) {
			e.monitors[instance.ID] = &monitor{contactedAt: now}
		}
		e.tryDial(ctx, now, instance.ID, instance.PeerAddress)
	}
	e.reservedLinks = min(unconnected, maxReservedLinks)
	e.dropMonitors(neededIDs)
	if len(e.links) < e.config.neighbourCount() {
		for _, seed := range e.config.Seeds {
			e.tryDial(ctx, now, "", seed)
		}
	}
	for _, l := range e.links {
		if !l.neededByPeer && now.Sub(l.neededAt) >= surplusLinkTimeout {
			delete(e.monitors, l.peer.ID)
			l.close(closeSurplus, "connection is no longer needed")
		}
	}
}

// dropMonitors ends the monitoring of instances that are neither connected nor
// needed. An instance that was connected to this one is monitored until its
// loss has been reported.
func (e *Exchange) dropMonitors(neededIDs map[savorystep.InstanceID]bool) {
	for id, mon := range e.monitors {
		if !neededIDs[id] && e.links[id] == nil && (!mon.wasConnected || !mon.suspectedAt.IsZero()) {
			delete(e.monitors, id)
		}
	}
}

// probeLost dials one random instance that is lost or removed, or a seed at
// which no live member is known.
func (e *Exchange) probeLost(ctx context.Context, now time.Time) {
	var lost []savorystep.Instance
	for id, m := range e.store.members {
		if e.store.isLost(now, id) && e.links[id] == nil {
			lost = append(lost, m.status.Instance)
		}
	}
	for id, stone := range e.store.tombstones {
		if stone.sequence != endedSequence && e.links[id] == nil {
			lost = append(lost, stone.instance)
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

// isMemberAt reports whether a member that is not lost has the given peer
// address.
func (e *Exchange) isMemberAt(now time.Time, address savorystep.Address) bool {
	for id, m := range e.store.members {
		if m.status.Instance.PeerAddress == address && !e.store.isLost(now, id) {
			return true
		}
	}
	return false
}

// tryDial dials an address in the background unless it is connected, is being
// dialed, or has failed too recently. With an empty ID any instance may answer
// at the address.
func (e *Exchange) tryDial(ctx context.Context, now time.Time, id savorystep.InstanceID, address savorystep.Address) {
	if address == "" || address == e.config.Self.PeerAddress || e.tasks == nil || len(e.links) >= e.config.MaxConnections {
		return
	}
	d := e.dialStates[address]
	if d == nil {
		d = &dialState{}
		if id > e.config.Self.ID {
			// Both ends dial. The end with the greater ID waits for one
			// interval, so that the two attempts rarely cross.
			d.nextAttempt = now
		} else if id != "" {
			d.nextAttempt = now.Add(overlayInterval)
		}
		e.dialStates[address] = d
	}
	if d.isDialing || d.isSelf || now.Before(d.nextAttempt) || (id == "" && (e.links[d.lastID] != nil || e.connectedIDAt(address) != "")) {
		return
	}
	d.isDialing = true
	e.tasks.Go(func() error {
		e.recordDialResult(d, id, address, e.connect(ctx, id, address))
		return nil
	})
}

// recordDialResult records the result of an attempt to connect.
func (e *Exchange) recordDialResult(d *dialState, id savorystep.InstanceID, address savorystep.Address, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.config.Clock.Now()
	d.isDialing = false
	if err == nil {
		d.failures = 0
		d.nextAttempt = now.Add(backoff(0))
		d.lastID = e.connectedIDAt(address)
		return
	}
	if websocket.CloseStatus(err) == closeDuplicate && e.links[id] == nil {
		// The instance is running but has enough connections, so others monitor
		// it.
		delete(e.monitors, id)
		d.refusedAt = now
	}
	d.isSelf = errors.Is(err, errSelf)
	wait := backoff(d.failures)
	d.failures++
	d.nextAttempt = now.Add(wait/2 + rand.N(wait)) //nolint:gosec // The choice needs no secrecy.
	logger.Debugf("connect to %s: %v", address, err)
}

// connectedIDAt returns the connected instance with the given peer address, ""
// if there is none.
func (e *Exchange) connectedIDAt(address savorystep.Address) savorystep.InstanceID {
	for id, l := range e.links {
		if l.peer.PeerAddress == address {
			return id
		}
	}
	return ""
}

// runPoll reads the registry periodically.
func (e *Exchange) runPoll(ctx context.Context) error {
	for {
		e.poll(ctx)
		instances := len(e.Members(e.config.Clock.Now()))
		if !savorystep.Sleep(ctx, savorystep.NextPollDelay(e.config.PollInterval, instances)) {
			return nil
		}
	}
}

// poll reads the registry once. If the platform is down, the last list is kept.
func (e *Exchange) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	instances, err := e.config.Registry.Instances(ctx)
	if err != nil {
		logger.Debugf("read instance list: %v", err)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.config.Clock.Now()
	e.listedInstances = e.listedInstances[:0]
	for _, instance := range instances {
		switch {
		case instance.ID == e.config.Self.ID:
		case instance.State == savorystep.StateEnded:
			e.store.removeEnded(now, instance)
		default:
			e.listedInstances = append(e.listedInstances, instance)
		}
	}
}
