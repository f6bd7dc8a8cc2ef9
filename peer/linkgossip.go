package peer

import (
	"cmp"
	"slices"
	"time"
)

// nextGossip returns the next gossip frame, nil if there is nothing to send or
// the byte budget does not allow it.
func (l *link) nextGossip(now time.Time) *factsFrame {
	e := l.exchange
	facts := &factsFrame{}
	isEmpty := true
	available := e.byteBudget.available(now)
	if l.digestDue && available >= digestSize {
		l.digestDue = false
		facts.Digest = e.store.digestBytes()
		isEmpty = false
		available -= len(facts.Digest)
	}
	if len(l.summaries) > 0 && available >= reservedBytes+maxGossipBytes/2 {
		facts.Summary = l.summaries[0]
		l.summaries = l.summaries[1:]
		isEmpty = false
		available -= summarySize(facts.Summary)
	}
	if size := l.addRevisions(now, facts, available); size > 0 {
		isEmpty = false
		available -= size
	}
	if l.addPendingFacts(now, facts, available) {
		isEmpty = false
	}
	if isEmpty && !l.heartbeatDue {
		return nil
	}
	return facts
}

// addRevisions adds the local revision and the revision vector to a frame if
// the peer does not have them yet. It returns an upper bound of their size in
// bytes.
func (l *link) addRevisions(now time.Time, facts *factsFrame, available int) int {
	e := l.exchange
	size := 0
	if m := e.store.members[e.config.Self.ID]; m.revision > l.sentRevision {
		facts.Revision = m.revision
		l.sentRevision = m.revision
		size += revisionBytes
	}
	revisions := &e.store.revisions
	switch {
	case l.announcedRevision < revisions.latest:
		// A new revision is announced on all links immediately, with one group
		// only: all groups on all links would exceed the byte budget.
		facts.Vector = revisions.announcement()
		l.announcedRevision = revisions.latest
	case l.gossipDue && !now.Before(e.nextVectorAt):
		facts.Vector = l.nextVectorPart(now, available-size)
	}
	return size + facts.Vector.sizeBound()
}

// nextVectorPart returns a part of the revision vector that has changed since
// it was sent on this link, nil if there is none. If the byte budget does not
// suffice, it reserves the bytes for the part, since small frames would
// otherwise use up the budget continually and the part would never be sent.
func (l *link) nextVectorPart(now time.Time, available int) *revisionVector {
	e := l.exchange
	revisions := &e.store.revisions
	for part := range l.sentPartVersions {
		if l.sentPartVersions[part] == revisions.version {
			continue
		}
		v := revisions.vectorPart(part, groupsPerPart)
		if size := v.sizeBound(); size > available-reservedBytes {
			e.vectorReservedBytes = size
			return nil
		}
		l.sentPartVersions[part] = revisions.version
		if v == nil {
			continue
		}
		e.vectorReservedBytes = 0
		// Vectors use at most half of the byte budget.
		e.nextVectorAt = now.Add(time.Duration(2 * float64(v.sizeBound()) / float64(e.config.BytesPerSecond) * float64(time.Second)))
		return v
	}
	return nil
}

// addPendingFacts moves pending facts into a frame in the order of
// sendableFacts, as far as the available bytes allow. It reports whether it
// added any.
func (l *link) addPendingFacts(now time.Time, facts *factsFrame, available int) bool {
	if !l.gossipDue && !l.urgentPending {
		return false
	}
	pending := l.sendableFacts()
	remaining := available
	added, frameBytes := 0, 0
	for _, fact := range pending {
		entry := fact.entry
		keepFree := reservedBytes + l.exchange.vectorReservedBytes
		if isUrgent(entry.key.kind) {
			keepFree = 0
		}
		size := l.factSizeBound(entry)
		isExtra := isEnding(entry.key.kind) && l.exchange.endingBudget.available(now) >= size
		if frameBytes+size > maxGossipBytes || !isExtra && remaining-size < keepFree {
			break
		}
		frameBytes += size
		if isExtra {
			// It does not use the budget from which the frame is deducted.
			l.exchange.endingBudget.spend(now, size)
			l.exchange.byteBudget.spend(now, -size)
		} else {
			remaining -= size
		}
		l.addFact(now, facts, entry)
		delete(l.pending, entry.key)
		added++
	}
	if added == len(pending) {
		l.gossipDue, l.urgentPending = false, false
	} else if added == 0 {
		// The byte budget is used up. The next gossip round continues.
		l.gossipDue = false
	}
	return added > 0
}

// A pendingFact is a fact that is to be sent on a link.
type pendingFact struct {
	*entry
	// isMissing is true if anti-entropy found that the peer lacks it.
	isMissing bool
}

// sendableFacts returns the pending facts that may be sent now: endings first, then
// other urgent facts, then the rest, each newest first, and last those that anti-entropy
// found missing, in random order.
func (l *link) sendableFacts() []pendingFact {
	e := l.exchange
	facts := make([]pendingFact, 0, len(l.pending))
	for key, isMissing := range l.pending {
		entry := e.store.get(key)
		if entry == nil {
			delete(l.pending, key)
			continue
		}
		if l.gossipDue || (isUrgent(key.kind) && !isMissing) {
			facts = append(facts, pendingFact{entry: entry, isMissing: isMissing})
		}
	}
	slices.SortFunc(facts, func(a, b pendingFact) int {
		if order := compareBools(isEnding(b.key.kind), isEnding(a.key.kind)); order != 0 {
			return order
		}
		if order := compareBools(a.isMissing, b.isMissing); order != 0 || a.isMissing {
			return order
		}
		return cmp.Or(
			cmp.Compare(urgencyOf(b.key.kind), urgencyOf(a.key.kind)),
			b.publishedAt.Compare(a.publishedAt),
			cmp.Compare(b.sequence, a.sequence),
		)
	})
	return facts
}

func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// factSizeBound returns an upper bound of the bytes that a fact adds to a
// frame.
func (l *link) factSizeBound(e *entry) int {
	size := factOverheadBytes + len(e.body)
	if _, known := l.sentNames[string(e.key.instance)]; !known && e.key.instance != l.exchange.store.self {
		size += 3 + len(e.key.instance)
	}
	if _, known := l.sentNames[e.key.subject]; !known && e.key.subject != "" {
		size += 3 + len(e.key.subject)
	}
	return size
}

// addFact adds a fact to a frame.
func (l *link) addFact(now time.Time, facts *factsFrame, e *entry) {
	if len(l.sentNames)+2 > maxDictionaryNames && len(facts.Facts) == 0 {
		clear(l.sentNames)
		facts.Reset = true
	}
	w := wireFact{Sequence: e.sequence, Kind: e.key.kind, AgeSeconds: e.ageSeconds(now), Body: e.body}
	if e.key.instance != l.exchange.store.self {
		w.Instance = l.nameIndex(facts, string(e.key.instance))
	}
	if e.key.subject != "" {
		w.Subject = l.nameIndex(facts, e.key.subject)
	}
	facts.Facts = append(facts.Facts, w)
}

// nameIndex returns the dictionary index of a name. A name that is not in the
// dictionary is added to it and to the frame.
func (l *link) nameIndex(facts *factsFrame, name string) uint64 {
	if n, known := l.sentNames[name]; known {
		return n
	}
	n := uint64(len(l.sentNames) + 1)
	l.sentNames[name] = n
	facts.Names = append(facts.Names, name)
	return n
}

// encodeFrame sets the timestamp of a frame, encodes it, and deducts its size
// from the byte budget.
func (l *link) encodeFrame(now time.Time, f frame) ([]byte, error) {
	f.Timestamp = l.exchange.config.HLC.Now()
	if f.Facts != nil {
		f.Facts.Needed = now.Sub(l.neededAt) < surplusLinkTimeout
	}
	data, err := frameCodec.Encode(f)
	if err != nil {
		return nil, err
	}
	l.sentAt = now
	l.exchange.byteBudget.spend(now, len(data)+frameOverheadBytes)
	l.exchange.stats.SentBytes += uint64(len(data) + frameOverheadBytes)
	l.exchange.stats.SentFrames++
	return data, nil
}
