package peer

import (
	"context"
	"math/rand/v2"
	"time"

	"savorystep"
)

const (
	// catchUpFirst is the pause after the first request. All instances of a
	// fleet may start within 0.3 s, and the seeds know only those that asked
	// before.
	catchUpFirst = 300 * time.Millisecond
	// catchUpPause is the time between further requests. A new instance is to be
	// known within 3 s. With 2,500 instances a request takes up to 30 KB, but
	// only while its sender catches up.
	catchUpPause = time.Second
	// catchUpIdle is how many requests without news end catching up. One may go
	// to a peer that has just started itself.
	catchUpIdle = 2
	// catchUpStart is how long an instance catches up at least after its start.
	// Others that start with it state that they are ready within this time.
	catchUpStart = 5 * time.Second
)

// runCatchUp asks random peers for the statuses that this instance lacks: from
// the start, and when many facts are new. The exchange of facts alone would
// need 14 s with 64 instances that start together, since its bytes are bounded
// for the usual day.
func (e *Exchange) runCatchUp(ctx context.Context) error {
	idle, pause := 0, catchUpFirst
	began := e.config.Clock.Now()
	for {
		switch e.catchUp(ctx) {
		case 0:
			idle++
		default:
			idle = 0
		}
		if !savorystep.Sleep(ctx, pause) {
			return nil
		}
		pause = catchUpPause
		if idle < catchUpIdle || e.isAlone() || e.config.Clock.Now().Sub(began) < catchUpStart {
			continue
		}
		select {
		case <-e.behind:
			idle = 0
		case <-ctx.Done():
			return nil
		}
	}
}

// isAlone reports whether no other member is known.
func (e *Exchange) isAlone() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.store.members) <= 1
}

// fallBehind starts catching up. It never blocks.
func (e *Exchange) fallBehind() {
	select {
	case e.behind <- struct{}{}:
	default:
	}
}

// catchUp asks one peer and returns how many statuses were new.
func (e *Exchange) catchUp(ctx context.Context) int {
	e.mu.Lock()
	address := e.catchUpPeer(e.config.Clock.Now())
	request := e.catchUpRequest(e.config.Clock.Now())
	e.mu.Unlock()
	if address == "" {
		return 0
	}
	answer, err := e.fetchStatuses(ctx, address, request)
	if err != nil {
		logger.Debugf("statuses from %s: %v", address, err)
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	learned := e.learnStatuses(e.config.Clock.Now(), answer.Statuses)
	if learned > 0 {
		e.wakeOverlay()
	}
	return learned
}

// catchUpPeer returns the address of a random member, near ones more often, or
// of a seed while no other member is known.
func (e *Exchange) catchUpPeer(now time.Time) savorystep.Address {
	var addresses []savorystep.Address
	for id, m := range e.store.members {
		if id == e.config.Self.ID || e.store.isLost(now, id) || m.status.Instance.PeerAddress == "" {
			continue
		}
		for range nearness(e.config.Self.Place, m.status.Instance.Place) {
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

// catchUpRequest returns a request with the own and the known statuses.
func (e *Exchange) catchUpRequest(now time.Time) catchUpRequest {
	var request catchUpRequest
	for key, entry := range e.store.facts[savorystep.FactStatus] {
		if key.instance == e.config.Self.ID {
			request.Self = statusOf(now, entry)
		}
		request.Known = append(request.Known, summaryEntry{Key: uint32(entry.hash), Sequence: entry.sequence})
	}
	return request
}

// statusOf returns the form in which an entry travels.
func statusOf(now time.Time, entry *entry) catchUpStatus {
	return catchUpStatus{Instance: entry.key.instance, Sequence: entry.sequence, Age: entry.age(now), Body: entry.body}
}

// catchUpAnswer returns the statuses of living members that a peer lacks. Each
// peer that it asks gives others if there are too many for one answer.
func (e *Exchange) catchUpAnswer(now time.Time, known []summaryEntry) catchUpAnswer {
	sequences := make(map[uint32]uint64, len(known))
	for _, entry := range known {
		sequences[entry.Key] = entry.Sequence
	}
	var answer catchUpAnswer
	for key, entry := range e.store.facts[savorystep.FactStatus] {
		if len(answer.Statuses) >= maxCatchUp {
			break
		}
		sequence, found := sequences[uint32(entry.hash)]
		if (found && sequence >= entry.sequence) || e.store.isLost(now, key.instance) {
			continue
		}
		answer.Statuses = append(answer.Statuses, statusOf(now, entry))
	}
	return answer
}

// learnStatuses merges statuses and returns how many were new. They are not
// passed on: who lacks them asks or finds them by digests.
func (e *Exchange) learnStatuses(now time.Time, received []catchUpStatus) int {
	learned := 0
	for _, s := range received {
		if s.Instance == e.config.Self.ID {
			continue
		}
		fact := savorystep.Fact{Instance: s.Instance, Sequence: s.Sequence, Kind: savorystep.FactStatus, Body: s.Body}
		if e.store.merge(now, fact, now.Add(-time.Duration(s.Age)*time.Second)) == nil {
			e.stats.DuplicateFacts++
			continue
		}
		learned++
		e.fresh++
		e.stats.NewFacts++
		e.notify(savorystep.ReceivedFact{Fact: fact, ReceivedAt: now})
	}
	return learned
}
