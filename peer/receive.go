package peer

import (
	"savorystep"
)

// receive handles one frame of a peer. An error ends the connection.
func (e *Exchange) receive(l *link, f frame, size int) error {
	observed := e.config.HLC.Observe(f.Stamp)
	var facts []savorystep.Fact
	if f.Facts != nil {
		var err error
		if facts, err = l.resolve(f.Facts); err != nil {
			return err
		}
	}
	if f.Want != nil {
		return e.answerWant(l, f.Want)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.config.Clock.Now()
	l.heard = now
	e.stats.ReceivedBytes += uint64(size + frameOverhead)
	e.stats.ReceivedFrames++
	if !observed {
		e.stats.SkewedTimestamps++
	}
	switch {
	case f.Facts != nil:
		l.wanted = f.Facts.Needed
		e.learn(now, l, facts, f.Facts.Facts)
		e.learnRevisions(l, f.Facts)
		e.reconcile(l, f.Facts)
		if f.Facts.Push != 0 {
			l.control = append(l.control, frame{Ack: &ackFrame{Push: f.Facts.Push}})
			l.signal()
		}
	case f.Ack != nil:
		e.settleAck(l, f.Ack.Push)
	case f.Change != nil:
		if c := e.wants[f.Change.Request]; c != nil {
			delete(e.wants, f.Change.Request)
			c <- f.Change.Changes
		}
	default:
		return savorystep.NewError(savorystep.KindBadRequest, "second hello")
	}
	return nil
}

// settleAck counts an ack of a push.
func (e *Exchange) settleAck(l *link, number uint64) {
	w := e.waiters[number]
	if w == nil || !w.outstanding[l.peer.ID] {
		return
	}
	delete(w.outstanding, l.peer.ID)
	w.acked++
	w.settle()
}

// learnRevisions takes the revisions in force from a peer's frame.
func (e *Exchange) learnRevisions(l *link, f *factsFrame) {
	top := e.store.revisions.top
	if m := e.store.members[l.peer.ID]; m != nil && e.store.revisions.raise(m, max(f.Revision, l.revisionHeard)) {
		e.notify(revisionFact(l.peer.ID, m))
	}
	// The status of the peer may come after its revision.
	l.revisionHeard = max(l.revisionHeard, f.Revision)
	if f.Vector != nil {
		l.topSent = max(l.topSent, f.Vector.Revision)
		for _, o := range e.store.revisions.merge(f.Vector) {
			e.notify(revisionFact(o.id, o.m))
		}
	}
	if e.store.revisions.top > top {
		// A new revision goes on at once, not with the next round.
		e.announce()
	}
}

// reconcile compares digests and summaries.
func (e *Exchange) reconcile(l *link, f *factsFrame) {
	if len(f.Digest) > 0 {
		missing, differing := e.store.compare(f.Digest)
		for _, bucket := range missing {
			for key := range e.store.buckets[bucket] {
				l.offer(key)
			}
		}
		if !e.store.sameRevisions(f.Digest) {
			l.partsSent = [vectorParts]uint64{}
		}
		if len(differing) > 0 && len(l.summaries) == 0 {
			l.summaries = append(l.summaries, e.store.summarise(differing, false))
			l.signal()
		}
	}
	if f.Summary == nil {
		return
	}
	keys, lacking := e.store.answer(f.Summary)
	for _, key := range keys {
		l.offer(key)
	}
	if lacking && !f.Summary.Reply && len(l.summaries) < maxDiffering {
		l.summaries = append(l.summaries, e.store.summarise(f.Summary.Buckets, true))
		l.signal()
	}
}
