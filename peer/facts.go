package peer

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"savorystep"
)

// The numbers of peers to which an instance forwards a received fact, in a
// fleet too large for a full mesh. With four random peers per instance a fact
// reaches 98% of a random network, with two it reaches 80%; anti-entropy
// delivers the rest. Each further peer costs one copy of the fact per instance
// of the fleet, so only rare and urgent facts are forwarded to more than two.
const (
	forwardCount          = 2
	suspicionForwardCount = 3
	urgentForwardCount    = 4
	// endingForwardCount is that for endings and silences of endpoints. An instance that is
	// told late sends a cold endpoint as much as a warm one, and may alone exceed what all
	// instances together may send. With eight peers, 99.97% are reached.
	endingForwardCount = 8
)

// forwardCountOf returns the number of peers to which facts of a kind are
// forwarded.
func forwardCountOf(kind savorystep.FactKind) int {
	switch kind {
	case savorystep.FactDraining, savorystep.FactCrash, savorystep.FactRateLimit, savorystep.FactLeaving:
		return urgentForwardCount
	case savorystep.FactEnded, savorystep.FactSilent:
		return endingForwardCount
	case factSuspicion:
		return suspicionForwardCount
	default:
		return forwardCount
	}
}

// Facts returns the newest facts of a kind from all instances, including this
// one, ordered by instance and subject.
func (e *Exchange) Facts(kind savorystep.FactKind) []savorystep.ReceivedFact {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.store.list(kind)
}

// Publish sets a fact of this instance and queues it for the peers. A fact with
// an unchanged body is sent again only when half of its maximum age has passed.
// A body that can't be encoded is logged and dropped.
func (e *Exchange) Publish(kind savorystep.FactKind, subject string, body any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if entry := e.addLocalFact(kind, subject, body); entry != nil {
		e.disseminate(entry, nil)
	}
}

// addLocalFact encodes a body and adds it as a fact of this instance. It
// returns nil if the fact is unchanged, invalid, or a revision, which is kept
// in the revision table.
func (e *Exchange) addLocalFact(kind savorystep.FactKind, subject string, body any) *entry {
	if fact, ok := body.(savorystep.RevisionFact); ok && kind == savorystep.FactRevision {
		e.localStatus.Revision = max(e.localStatus.Revision, fact.Revision)
		e.raiseLocalRevision(fact.Revision)
		return nil
	}
	var data []byte
	if body != nil {
		var err error
		if data, err = encMode.Marshal(body); err != nil {
			logger.Errorf("encode fact of kind %d with subject %q: %v", kind, subject, err)
			return nil
		}
	}
	now := e.config.Clock.Now()
	old := e.store.get(factKey{kind: kind, instance: e.config.Self.ID, subject: subject})
	if old != nil && string(old.body) == string(data) && now.Sub(old.publishedAt) < maxFactAge(kind)/2 {
		return nil
	}
	if old != nil && maxFactAge(kind) == 0 && string(old.body) == string(data) {
		return nil
	}
	return e.store.addLocal(now, kind, subject, data)
}

// Broadcast sets a fact of this instance and sends it immediately to all
// connected peers. It waits until they have acknowledged it or ctx is done. It
// returns how many peers acknowledged it, and how many monitored members did
// not or are not connected. In a fleet too large for a full mesh, the peers
// forward the fact, and only the connected ones are counted.
func (e *Exchange) Broadcast(ctx context.Context, kind savorystep.FactKind, subject string, body any) (acked, unacked int) {
	e.mu.Lock()
	entry := e.addLocalFact(kind, subject, body)
	if entry == nil {
		entry = e.store.get(factKey{kind: kind, instance: e.config.Self.ID, subject: subject})
	}
	var key factKey
	switch {
	case entry != nil:
		key = entry.key
	case kind == savorystep.FactRevision:
		// A revision is not a stored fact. It is sent in the Revision field of
		// the frame.
		key = factKey{kind: kind, instance: e.config.Self.ID}
	default:
		e.mu.Unlock()
		return 0, 0
	}
	e.lastRequestID++
	ackID := e.lastRequestID
	w := &ackWaiter{outstanding: make(map[savorystep.InstanceID]bool), done: make(chan struct{})}
	e.ackWaiters[ackID] = w
	for id, l := range e.links {
		w.outstanding[id] = true
		l.pushes = append(l.pushes, push{ackID: ackID, key: key})
		l.wakeWriter()
	}
	unconnected := e.countUnconnected()
	w.closeIfComplete()
	e.mu.Unlock()

	select {
	case <-w.done:
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.ackWaiters, ackID)
	return w.acked, unconnected + w.disconnected + len(w.outstanding)
}

// countUnconnected returns how many of the members that this instance monitors
// have no connection to it.
func (e *Exchange) countUnconnected() int {
	now := e.config.Clock.Now()
	unconnected := 0
	for id := range e.monitors {
		if e.links[id] == nil && e.store.members[id] != nil && !e.store.isLost(now, id) {
			unconnected++
		}
	}
	return unconnected
}

// An ackWaiter collects the acknowledgements of one broadcast.
type ackWaiter struct {
	outstanding         map[savorystep.InstanceID]bool
	acked, disconnected int
	done                chan struct{}
}

// closeIfComplete closes done when no acknowledgement is outstanding.
func (w *ackWaiter) closeIfComplete() {
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
// order of receipt. The function must not block.
func (e *Exchange) Subscribe(kind savorystep.FactKind, f func(savorystep.ReceivedFact)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.subscribers[kind] = append(e.subscribers[kind], f)
}

// disseminate queues a new fact for peers. A local fact is queued on all links
// of a full mesh or twice the forward count of them; a fact received from a
// link is forwarded on some of the others.
func (e *Exchange) disseminate(entry *entry, from *link) {
	if entry == nil {
		return
	}
	if from != nil {
		delete(from.pending, entry.key)
	}
	if isScoped(entry.key.kind) {
		e.disseminateScoped(entry, from)
		return
	}
	if entry.key.kind == factSuspicion {
		// The suspected instance has to receive the suspicion first, so that it
		// can refute it.
		subject := savorystep.InstanceID(entry.key.subject)
		if l := e.links[subject]; l != nil && l != from {
			l.enqueue(entry.key)
		}
		if suspected := e.store.suspicions[subject]; from != nil && suspected != nil && len(suspected.reporters) > maxSuspicionReporters {
			return
		}
	}
	if isEnding(entry.key.kind) && !e.isEndingDue(entry, from) {
		return
	}
	for _, l := range e.forwardTargets(entry.key.instance, from, e.forwardCount(entry, from)) {
		l.enqueue(entry.key)
	}
}

// forwardCount returns the number of peers to which a new fact is sent.
func (e *Exchange) forwardCount(entry *entry, from *link) int {
	switch count := forwardCountOf(entry.key.kind); {
	case from == nil && e.isFullMesh():
		return len(e.links)
	case from == nil:
		return 2 * count
	case e.isFullMesh():
		// In a full mesh the publisher has sent the fact to every instance. One
		// forwarded copy covers the case that its connection to a third
		// instance has failed.
		return 1
	default:
		return count
	}
}

// isEndingDue reports whether a report that an endpoint has ended or is silent is sent on.
// Several instances find it at the same moment. Of their reports, an instance forwards as
// many as instances act on; anti-entropy delivers the others.
func (e *Exchange) isEndingDue(entry *entry, from *link) bool {
	now := e.config.Clock.Now()
	key := factKey{kind: entry.key.kind, subject: entry.key.subject}
	if body, err := endedCodec.Decode(entry.body); err == nil {
		// The end of a later incarnation is other news.
		key.subject += "@" + strconv.FormatInt(body.StartedAtMillis, 10)
	}
	sent := e.endingsSent[key]
	if sent.count == 0 || now.Sub(sent.since) >= endingForwardInterval {
		sent = endingsSent{since: now}
	}
	if from != nil && sent.count >= maxForwardedEndings(entry.key.kind) {
		return false
	}
	if len(e.endingsSent) >= maxSubjectsPerKind {
		clear(e.endingsSent)
	}
	sent.count++
	e.endingsSent[key] = sent
	return true
}

// endingsSent counts the reports of an ending or a silence that were sent on since a time.
type endingsSent struct {
	since time.Time
	count int
}

// forwardTargets chooses count random links for a fact. It excludes the
// instance that published the fact and the link from which it was received.
func (e *Exchange) forwardTargets(instance savorystep.InstanceID, from *link, count int) []*link {
	others := make([]*link, 0, len(e.links))
	for id, l := range e.links {
		if l != from && id != instance {
			others = append(others, l)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(count, len(others))]
}

// isFullMesh reports whether the fleet is small enough for connections between
// all instances.
func (e *Exchange) isFullMesh() bool {
	return len(e.store.members)-1 <= e.config.fullMeshLimit()
}

// mergeFacts merges the facts of a frame into the store, forwards the new ones,
// and refutes suspicions of this instance.
func (e *Exchange) mergeFacts(now time.Time, from *link, facts []savorystep.Fact, wireFacts []wireFact) {
	for i, fact := range facts {
		if fact.Instance == e.config.Self.ID {
			continue
		}
		key := factKey{kind: fact.Kind, instance: fact.Instance, subject: fact.Subject}
		if known := e.store.get(key); known != nil && known.sequence <= fact.Sequence {
			delete(from.pending, key)
		}
		entry := e.store.merge(now, fact, now.Add(-time.Duration(wireFacts[i].AgeSeconds)*time.Second))
		if entry == nil {
			e.stats.DuplicateFacts++
			if isScoped(key.kind) && e.store.get(key) != nil {
				e.markPublisher(from, key)
			}
			continue
		}
		e.stats.NewFacts++
		e.newFacts++
		e.disseminate(entry, from)
		e.notify(savorystep.ReceivedFact{Fact: fact, ReceivedAt: now, Age: time.Duration(wireFacts[i].AgeSeconds) * time.Second})
	}
	e.applyReportedRevisions(now)
	e.refute(now)
}
