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
	e.stats.Received += uint64(size + frameOverhead)
	e.stats.FramesReceived++
	if !observed {
		e.stats.SkewedStamps++
	}
	switch {
	case f.Facts != nil:
		e.learn(now, l, facts, f.Facts.Facts)
		e.learnVector(f.Facts.Vector)
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

// learnVector takes the revisions in force of a peer's vector.
func (e *Exchange) learnVector(v *vector) {
	if v == nil {
		return
	}
	top := e.store.revisions.top
	for _, o := range e.store.revisions.merge(v) {
		e.notify(revisionFact(o.id, o.m))
	}
	if e.store.revisions.top > top {
		// A new revision goes on at once, not with the next round.
		e.dueAll()
	}
}

// reconcile compares digests and summaries.
func (e *Exchange) reconcile(l *link, f *factsFrame) {
	if len(f.Digest) > 0 {
		missing, differing := e.store.compare(f.Digest)
		for _, bucket := range missing {
			for key := range e.store.buckets[bucket] {
				l.add(key)
			}
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
		l.add(key)
	}
	if lacking && !f.Summary.Reply && len(l.summaries) < maxDiffering {
		l.summaries = append(l.summaries, e.store.summarise(f.Summary.Buckets, true))
		l.signal()
	}
}
