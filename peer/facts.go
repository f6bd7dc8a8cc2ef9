package peer

import (
	"context"
	"math/rand/v2"
	"time"

	"savorystep"
)

// The numbers of peers to which an instance passes on a fact that it heard
// from another, in a fleet too large to connect to all. Four random relays per
// instance reach 98% of a random network, two reach 80%; comparing digests
// brings the rest. Each relay costs as many bytes as there are instances, so
// only facts that are rare and urgent get more than two.
const (
	relays          = 2
	suspicionRelays = 3
	urgentRelays    = 4
)

// relaysOf returns the number of relays of a fact.
func relaysOf(kind savorystep.FactKind) int {
	switch kind {
	case savorystep.FactDraining, savorystep.FactCrash:
		return urgentRelays
	case factSuspicion:
		return suspicionRelays
	default:
		return relays
	}
}

// Facts returns the newest facts of a kind from all instances, this one
// included, in order of instance and subject.
func (e *Exchange) Facts(kind savorystep.FactKind) []savorystep.ReceivedFact {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.store.list(kind)
}

// Publish states a fact. Stating the same body again is not sent again. A body
// that cannot be encoded is logged and dropped.
func (e *Exchange) Publish(kind savorystep.FactKind, subject string, body any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if entry := e.state(kind, subject, body); entry != nil {
		e.spread(entry, nil)
	}
}

// state makes an own fact from a body. It returns nil if the fact was not
// made.
func (e *Exchange) state(kind savorystep.FactKind, subject string, body any) *entry {
	if fact, ok := body.(savorystep.RevisionFact); ok && kind == savorystep.FactRevision {
		e.status.Revision = max(e.status.Revision, fact.Revision)
		e.raiseRevision(fact.Revision)
		return nil
	}
	var data []byte
	if body != nil {
		var err error
		if data, err = encoding.Marshal(body); err != nil {
			logger.Errorf("fact of kind %d: %v", kind, err)
			return nil
		}
	}
	now := e.config.Clock.Now()
	old := e.store.get(factKey{kind: kind, instance: e.config.Self.ID, subject: subject})
	if old != nil && string(old.body) == string(data) && now.Sub(old.born) < lifetime(kind)/2 {
		return nil
	}
	if old != nil && lifetime(kind) == 0 && string(old.body) == string(data) {
		return nil
	}
	return e.store.state(now, kind, subject, data)
}

// Broadcast states a fact and sends it at once to all connected peers. It returns
// how many peers acknowledged it, and how many chosen peers did not or are not
// connected. In a fleet too large to connect to all, the peers pass it on, and
// only the connected ones count.
func (e *Exchange) Broadcast(ctx context.Context, kind savorystep.FactKind, subject string, body any) (acked, missing int) {
	e.mu.Lock()
	entry := e.state(kind, subject, body)
	if entry == nil {
		entry = e.store.get(factKey{kind: kind, instance: e.config.Self.ID, subject: subject})
	}
	var key factKey
	switch {
	case entry != nil:
		key = entry.key
	case kind == savorystep.FactRevision:
		// Revisions travel in a field of the frame.
		key = factKey{kind: kind, instance: e.config.Self.ID}
	default:
		e.mu.Unlock()
		return 0, 0
	}
	e.requests++
	number := e.requests
	w := &waiter{outstanding: make(map[savorystep.InstanceID]bool), done: make(chan struct{})}
	e.waiters[number] = w
	for id, l := range e.links {
		w.outstanding[id] = true
		l.pushes = append(l.pushes, push{number: number, key: key})
		l.signal()
	}
	absent := e.countAbsent()
	w.settle()
	e.mu.Unlock()

	select {
	case <-w.done:
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.waiters, number)
	return w.acked, absent + w.lost + len(w.outstanding)
}

// countAbsent returns how many members that this instance monitors have no
// connection.
func (e *Exchange) countAbsent() int {
	now := e.config.Clock.Now()
	absent := 0
	for id := range e.watches {
		if e.links[id] == nil && e.store.members[id] != nil && !e.store.isLost(now, id) {
			absent++
		}
	}
	return absent
}

// A waiter collects the acks of one push.
type waiter struct {
	outstanding map[savorystep.InstanceID]bool
	acked, lost int
	done        chan struct{}
}

// settle closes done when nothing is outstanding.
func (w *waiter) settle() {
	if len(w.outstanding) > 0 {
		return
	}
	select {
	case <-w.done:
	default:
		close(w.done)
	}
}

// Subscribe calls f for each new fact of a kind from other instances, in the
// order heard. f must not block.
func (e *Exchange) Subscribe(kind savorystep.FactKind, f func(savorystep.ReceivedFact)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.subscribers[kind] = append(e.subscribers[kind], f)
}

// notify queues a fact for the subscribers.
func (e *Exchange) notify(fact savorystep.ReceivedFact) {
	if len(e.subscribers[fact.Kind]) == 0 {
		return
	}
	e.notices = append(e.notices, fact)
	select {
	case e.noticed <- struct{}{}:
	default:
	}
}

// runNotices calls the subscribers.
func (e *Exchange) runNotices(ctx context.Context) error {
	for {
		select {
		case <-e.noticed:
		case <-ctx.Done():
			return nil
		}
		e.mu.Lock()
		notices := e.notices
		e.notices = nil
		e.mu.Unlock()
		for _, fact := range notices {
			e.mu.Lock()
			subscribers := e.subscribers[fact.Kind]
			e.mu.Unlock()
			for _, f := range subscribers {
				f(fact)
			}
		}
	}
}

// spread puts a new fact among those to send. An own fact goes to all links, a
// fact heard over from goes to some others.
func (e *Exchange) spread(entry *entry, from *link) {
	if entry == nil {
		return
	}
	if from != nil {
		delete(from.pending, entry.key)
	}
	if isScoped(entry.key.kind) {
		e.spreadScoped(entry, from)
		return
	}
	if entry.key.kind == factSuspicion {
		// The suspected instance shall hear of it first.
		subject := savorystep.InstanceID(entry.key.subject)
		if l := e.links[subject]; l != nil && l != from {
			l.add(entry.key)
		}
		if suspected := e.store.suspicions[subject]; from != nil && suspected != nil && len(suspected.by) > maxSuspecters {
			return
		}
	}
	count := relaysOf(entry.key.kind)
	switch {
	case from == nil && e.isMesh():
		count = len(e.links)
	case from == nil:
		count *= 2
	case e.isMesh():
		// With a connection to every instance, one relay guards against a
		// loss between the fact's instance and a third one.
		count = 1
	}
	for _, l := range e.relaysFor(entry.key.instance, from, count) {
		l.add(entry.key)
	}
}

// relaysFor chooses the links on which to send a fact: not to the instance it
// is of, nor back to the one it came from.
func (e *Exchange) relaysFor(instance savorystep.InstanceID, from *link, count int) []*link {
	others := make([]*link, 0, len(e.links))
	for id, l := range e.links {
		if l != from && id != instance {
			others = append(others, l)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(count, len(others))]
}

// isMesh reports whether the fleet is small enough for a connection to every
// instance.
func (e *Exchange) isMesh() bool {
	return len(e.store.members)-1 <= e.config.mesh()
}

// learn merges the facts of a frame.
func (e *Exchange) learn(now time.Time, from *link, facts []savorystep.Fact, wire []wireFact) {
	for i, fact := range facts {
		if fact.Instance == e.config.Self.ID {
			continue
		}
		key := factKey{kind: fact.Kind, instance: fact.Instance, subject: fact.Subject}
		if known := e.store.get(key); known != nil && known.sequence <= fact.Sequence {
			delete(from.pending, key)
		}
		entry := e.store.merge(now, fact, now.Add(-time.Duration(wire[i].Age)*time.Second))
		if entry == nil {
			e.stats.DuplicateFacts++
			continue
		}
		e.stats.NewFacts++
		e.fresh++
		e.spread(entry, from)
		e.notify(savorystep.ReceivedFact{Fact: fact, ReceivedAt: now})
	}
	e.refute(now)
}
