package peer

import (
	"time"

	"savorystep"
)

// handleFrame handles one frame of a peer. An error ends the connection.
func (e *Exchange) handleFrame(l *link, f frame, size int) error {
	observed := e.config.HLC.Observe(f.Timestamp)
	var facts []savorystep.Fact
	if f.Facts != nil {
		var err error
		if facts, err = l.resolveFacts(f.Facts); err != nil {
			return err
		}
	}
	if f.ChangesRequest != nil {
		return e.serveChanges(l, f.ChangesRequest)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.config.Clock.Now()
	l.receivedAt = now
	e.stats.ReceivedBytes += uint64(size + frameOverheadBytes)
	e.stats.ReceivedFrames++
	if !observed {
		e.stats.SkewedTimestamps++
	}
	switch {
	case f.Facts != nil:
		l.neededByPeer = f.Facts.Needed
		e.mergeFacts(now, l, facts, f.Facts.Facts)
		e.mergeRevisions(now, l, f.Facts)
		e.reconcile(l, f.Facts)
		if f.Facts.AckID != 0 {
			e.acknowledge(l, f.Facts.AckID)
		}
	case f.Ack != nil:
		e.handleAck(l, f.Ack.AckID)
	case f.ChangesResponse != nil:
		if c := e.pendingChangeRequests[f.ChangesResponse.RequestID]; c != nil {
			delete(e.pendingChangeRequests, f.ChangesResponse.RequestID)
			c <- f.ChangesResponse.Changes
		}
	default:
		return savorystep.NewError(savorystep.KindBadRequest, "unexpected second hello frame")
	}
	return nil
}

// handleAck counts an acknowledgement of a broadcast.
func (e *Exchange) handleAck(l *link, ackID uint64) {
	w := e.ackWaiters[ackID]
	if w == nil || !w.outstanding[l.peer.ID] {
		return
	}
	delete(w.outstanding, l.peer.ID)
	w.acked++
	w.closeIfComplete()
}

// mergeRevisions takes the revisions in force from a peer's frame.
func (e *Exchange) mergeRevisions(now time.Time, l *link, f *factsFrame) {
	latest := e.store.revisions.latest
	l.receivedRevision = max(l.receivedRevision, f.Revision)
	e.recordRevision(now, memberRevision{revision: l.receivedRevision, instance: l.peer.ID})
	if f.Vector != nil {
		// The status of the instance that has it in force may be missing.
		e.recordForwardedRevision(now, memberRevision{revision: f.Vector.Revision})
		l.announcedRevision = max(l.announcedRevision, f.Vector.Revision)
		for _, o := range e.store.revisions.merge(f.Vector) {
			e.notify(revisionFact(o.id, o.member))
		}
	}
	if e.store.revisions.latest > latest {
		// A new revision is forwarded immediately, not in the next gossip
		// round.
		e.announceRevision()
	}
}

// reconcile runs anti-entropy: it compares a peer's digest and summary with the
// local facts and queues what either side lacks.
func (e *Exchange) reconcile(l *link, f *factsFrame) {
	if len(f.Digest) > 0 {
		missing, differing := e.store.compareDigest(f.Digest)
		for _, bucket := range missing {
			for key := range e.store.buckets[bucket] {
				l.enqueueMissing(key)
			}
		}
		if !e.store.hasSameRevisions(f.Digest) {
			l.sentPartVersions = [vectorParts]uint64{}
		}
		if len(differing) > 0 && len(l.summaries) == 0 {
			l.summaries = append(l.summaries, e.store.summarise(differing, false))
			l.wakeWriter()
		}
	}
	if f.Summary == nil {
		return
	}
	keys, isLacking := e.store.compareSummary(f.Summary)
	for _, key := range keys {
		l.enqueueMissing(key)
	}
	if isLacking && !f.Summary.IsReply && len(l.summaries) < maxDifferingBuckets {
		l.summaries = append(l.summaries, e.store.summarise(f.Summary.Buckets, true))
		l.wakeWriter()
	}
}
