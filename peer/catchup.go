package peer

import (
	"context"
	"math/rand/v2"
	"time"

	"savorystep"
)

const (
	// catchUpFirstPause is the pause after the first request. All instances of
	// a fleet may start within 0.3 s, and the members of a seed at this time
	// are only those that have sent it a request before.
	catchUpFirstPause = 300 * time.Millisecond
	// catchUpPause is the time between further requests. A new instance has to
	// be known within 3 s. With 2,500 instances a request takes up to 30 KB,
	// but only while its sender catches up.
	catchUpPause = time.Second
	// maxIdleCatchUps is the number of consecutive requests without a new
	// status after which they become rarer. One may have gone to a peer that has
	// just started itself.
	maxIdleCatchUps = 2
	// maxCatchUpPause is the time between requests after which catching up ends,
	// unless the last one had no response. The pauses double up to it, since all
	// requests may have gone to instances that know only each other.
	maxCatchUpPause = 16 * time.Second
	// minCatchUpDuration is how long an instance catches up at least after its
	// start. Instances that start at the same time become ready within this
	// time.
	minCatchUpDuration = 5 * time.Second
)

// runCatchUp requests missing statuses from random peers at the start of this
// instance and whenever many facts are new. Gossip alone would take 14 s with
// 64 instances that start together, since its byte budget is sized for normal
// operation.
func (e *Exchange) runCatchUp(ctx context.Context) error {
	idleCount, pause := 0, catchUpFirstPause
	startedAt := e.config.Clock.Now()
	for {
		merged, err := e.catchUp(ctx)
		switch {
		case err != nil: // Without a response, nothing is known of what is missing.
		case merged == 0:
			idleCount++
		default:
			idleCount = 0
		}
		isSignalled, ok := e.awaitCatchUp(ctx, pause)
		if !ok {
			return nil
		}
		switch {
		case isSignalled:
			idleCount, pause = 0, catchUpPause
		case err != nil && !e.hasNoPeers() && !e.isStarting(startedAt):
			pause = min(2*pause, maxCatchUpPause)
		case idleCount < maxIdleCatchUps || e.hasNoPeers() || e.isStarting(startedAt):
			pause = catchUpPause
		default:
			pause *= 2
		}
	}
}

// isStarting reports whether instances that started together with this one, at startedAt,
// may still be starting.
func (e *Exchange) isStarting(startedAt time.Time) bool {
	return e.config.Clock.Now().Sub(startedAt) < minCatchUpDuration
}

// awaitCatchUp waits for a pause. If that is longer than catchUpPause, it ends as soon as
// many facts are new, and isSignalled is true; after maxCatchUpPause it waits for these
// only. It returns false if ctx ends.
func (e *Exchange) awaitCatchUp(ctx context.Context, pause time.Duration) (isSignalled, ok bool) {
	if pause <= catchUpPause {
		return false, savorystep.Sleep(ctx, pause)
	}
	var elapsed <-chan time.Time
	if pause <= maxCatchUpPause {
		timer := time.NewTimer(pause)
		defer timer.Stop()
		elapsed = timer.C
	}
	select {
	case <-elapsed:
		return false, true
	case <-e.catchUpSignal:
		return true, true
	case <-ctx.Done():
		return false, false
	}
}

// hasNoPeers reports whether no other member is known.
func (e *Exchange) hasNoPeers() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.store.members) <= 1
}

// requestCatchUp makes runCatchUp continue. It never blocks.
func (e *Exchange) requestCatchUp() {
	select {
	case e.catchUpSignal <- struct{}{}:
	default:
	}
}

// catchUp requests statuses from one peer and returns how many were new. The error means
// that there was no response.
func (e *Exchange) catchUp(ctx context.Context) (int, error) {
	e.mu.Lock()
	address := e.chooseCatchUpPeer(e.config.Clock.Now())
	request := e.newCatchUpRequest(e.config.Clock.Now())
	e.mu.Unlock()
	if address == "" {
		return 0, nil
	}
	response, err := e.fetchStatuses(ctx, address, request)
	if err != nil {
		logger.Debugf("fetch statuses from %s: %v", address, err)
		return 0, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	merged := e.mergeStatuses(e.config.Clock.Now(), response.Statuses)
	e.recordForwardedRevision(e.config.Clock.Now(), response.latest)
	if merged > 0 {
		e.wakeOverlay()
	}
	return merged, nil
}

// latestMemberRevision returns the greatest revision in force at a live member or at an
// instance whose status has not arrived.
func (e *Exchange) latestMemberRevision(now time.Time) memberRevision {
	var latest memberRevision
	for id, m := range e.store.members {
		if m.revision > latest.revision && !e.store.isLost(now, id) {
			latest = memberRevision{revision: m.revision, instance: id}
		}
	}
	for id, report := range e.store.reported {
		if report.revision > latest.revision && !e.store.isReportExpired(now, report) {
			latest = memberRevision{revision: report.revision, instance: id}
		}
	}
	return latest
}

// chooseCatchUpPeer returns the address of a random member, closer ones with a
// greater probability, or of a seed while no other member is known. It returns
// "" if there is none.
func (e *Exchange) chooseCatchUpPeer(now time.Time) savorystep.Address {
	var addresses []savorystep.Address
	for id, m := range e.store.members {
		if id == e.config.Self.ID || e.store.isLost(now, id) || m.status.Instance.PeerAddress == "" {
			continue
		}
		for range localityWeight(e.config.Self.Place, m.status.Instance.Place) {
			addresses = append(addresses, m.status.Instance.PeerAddress)
		}
	}
	if len(addresses) == 0 {
		for _, seed := range e.config.Seeds {
			if seed != e.config.Self.PeerAddress {
				addresses = append(addresses, seed)
			}
		}
	}
	if len(addresses) == 0 {
		return ""
	}
	return addresses[rand.IntN(len(addresses))] //nolint:gosec // The choice needs no secrecy.
}

// newCatchUpRequest returns a request with the local status and the keys of all
// known ones.
func (e *Exchange) newCatchUpRequest(now time.Time) catchUpRequest {
	request := catchUpRequest{latest: e.latestMemberRevision(now)}
	for key, entry := range e.store.facts[savorystep.FactStatus] {
		if key.instance == e.config.Self.ID {
			request.Self = wireStatus(now, entry)
		}
		request.Known = append(request.Known, summaryEntry{KeyHash: uint32(entry.hash), Sequence: entry.sequence})
	}
	return request
}

// wireStatus returns the wire form of a status entry.
func wireStatus(now time.Time, entry *entry) catchUpStatus {
	return catchUpStatus{Instance: entry.key.instance, Sequence: entry.sequence, AgeSeconds: entry.ageSeconds(now), Body: entry.body}
}

// newCatchUpResponse returns the statuses of live members that a peer lacks. If
// there are too many for one response, the choice is random, so that several
// peers send different ones.
func (e *Exchange) newCatchUpResponse(now time.Time, known []summaryEntry) catchUpResponse {
	sequences := make(map[uint32]uint64, len(known))
	for _, entry := range known {
		sequences[entry.KeyHash] = entry.Sequence
	}
	var response catchUpResponse
	for key, entry := range e.store.facts[savorystep.FactStatus] {
		if len(response.Statuses) >= maxCatchUpStatuses {
			break
		}
		sequence, found := sequences[uint32(entry.hash)]
		if (found && sequence >= entry.sequence) || e.store.isLost(now, key.instance) {
			continue
		}
		response.Statuses = append(response.Statuses, wireStatus(now, entry))
	}
	return response
}

// mergeStatuses merges statuses and returns how many were new. They are not
// forwarded: other instances that lack them catch up as well or get them by
// anti-entropy.
func (e *Exchange) mergeStatuses(now time.Time, received []catchUpStatus) int {
	merged := 0
	for _, s := range received {
		if s.Instance == e.config.Self.ID {
			continue
		}
		fact := savorystep.Fact{Instance: s.Instance, Sequence: s.Sequence, Kind: savorystep.FactStatus, Body: s.Body}
		if e.store.merge(now, fact, now.Add(-time.Duration(s.AgeSeconds)*time.Second)) == nil {
			e.stats.DuplicateFacts++
			continue
		}
		merged++
		e.newFacts++
		e.stats.NewFacts++
		e.notify(savorystep.ReceivedFact{Fact: fact, ReceivedAt: now})
	}
	e.applyReportedRevisions(now)
	return merged
}
