package peer

import (
	"cmp"
	"slices"
	"time"
)

// compose returns the next regular facts frame or nil.
func (l *link) compose(now time.Time) *factsFrame {
	e := l.exchange
	facts := &factsFrame{}
	empty := true
	available := e.bucket.available(now)
	if l.digest && available >= digestSize {
		l.digest = false
		facts.Digest = e.store.digestBytes()
		empty = false
		available -= len(facts.Digest)
	}
	if len(l.summaries) > 0 && available >= reserve+maxGossip/2 {
		facts.Summary = l.summaries[0]
		l.summaries = l.summaries[1:]
		empty = false
		available -= summarySize(facts.Summary)
	}
	if size := l.composeVector(now, facts, available); size > 0 {
		empty = false
		available -= size
	}
	if l.take(now, facts, available) {
		empty = false
	}
	if empty && !l.beat {
		return nil
	}
	return facts
}

// composeVector adds the own revision and the vector to a frame if they are
// new to the peer. It returns their size in bytes.
func (l *link) composeVector(now time.Time, facts *factsFrame, available int) int {
	e := l.exchange
	size := 0
	if m := e.store.members[e.config.Self.ID]; m.revision > l.revisionSent {
		facts.Revision = m.revision
		l.revisionSent = m.revision
		size += revisionSize
	}
	revisions := &e.store.revisions
	switch {
	case l.topSent < revisions.top:
		// A new revision is announced to all at once, by the first group
		// only: all groups on all links would exceed the budget.
		facts.Vector = revisions.announcement()
		l.topSent = revisions.top
	case l.due && !now.Before(e.vectorNext):
		facts.Vector = l.nextPart(now, available-size)
	}
	return size + facts.Vector.size()
}

// nextPart returns a part of the vector that changed since it was sent on this
// link, or nil. If the budget does not suffice, other facts wait for the part,
// since small frames would else use up the budget for ever.
func (l *link) nextPart(now time.Time, available int) *vector {
	e := l.exchange
	revisions := &e.store.revisions
	for part := range l.partsSent {
		if l.partsSent[part] == revisions.version {
			continue
		}
		v := revisions.vector(part, partGroups)
		if size := v.size(); size > available-reserve {
			e.vectorHold = size
			return nil
		}
		l.partsSent[part] = revisions.version
		if v == nil {
			continue
		}
		e.vectorHold = 0
		// Vectors take at most half of the budget.
		e.vectorNext = now.Add(time.Duration(2 * float64(v.size()) / float64(e.config.BytesPerSecond) * float64(time.Second)))
		return v
	}
	return nil
}

// take moves pending facts into a frame, newest first, within the available
// bytes. It reports whether it took any.
func (l *link) take(now time.Time, facts *factsFrame, available int) bool {
	if !l.due && !l.urgent {
		return false
	}
	entries := l.ready()
	left := available
	taken := 0
	for _, entry := range entries {
		floor := reserve + l.exchange.vectorHold
		if isUrgent(entry.key.kind) {
			floor = 0
		}
		size := l.sizeOf(entry)
		if left-size < floor || available-left+size > maxGossip {
			break
		}
		left -= size
		l.append(now, facts, entry)
		delete(l.pending, entry.key)
		taken++
	}
	if taken == len(entries) {
		l.due, l.urgent = false, false
	} else if taken == 0 {
		// The budget is used up; the next round goes on.
		l.due = false
	}
	return taken > 0
}

// ready returns the pending facts that may be sent now, in order: urgent ones,
// others, and those from digests.
func (l *link) ready() []*entry {
	e := l.exchange
	entries := make([]*entry, 0, len(l.pending))
	for key, offered := range l.pending {
		entry := e.store.get(key)
		if entry == nil {
			delete(l.pending, key)
			continue
		}
		if l.due || (isUrgent(key.kind) && !offered) {
			entries = append(entries, entry)
		}
	}
	slices.SortFunc(entries, func(a, b *entry) int {
		if order := compareBools(l.pending[a.key], l.pending[b.key]); order != 0 || l.pending[a.key] {
			return order
		}
		return cmp.Or(
			compareBools(isUrgent(b.key.kind), isUrgent(a.key.kind)),
			b.born.Compare(a.born),
			cmp.Compare(b.sequence, a.sequence),
		)
	})
	return entries
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

// sizeOf returns a bound of the bytes that a fact adds to a frame.
func (l *link) sizeOf(e *entry) int {
	size := factOverhead + len(e.body)
	if _, known := l.names[string(e.key.instance)]; !known && e.key.instance != l.exchange.store.self {
		size += 3 + len(e.key.instance)
	}
	if _, known := l.names[e.key.subject]; !known && e.key.subject != "" {
		size += 3 + len(e.key.subject)
	}
	return size
}

// append adds a fact to a frame.
func (l *link) append(now time.Time, facts *factsFrame, e *entry) {
	if len(l.names)+2 > maxNames && len(facts.Facts) == 0 {
		clear(l.names)
		facts.Reset = true
	}
	w := wireFact{Sequence: e.sequence, Kind: e.key.kind, Age: e.age(now), Body: e.body}
	if e.key.instance != l.exchange.store.self {
		w.Instance = l.number(facts, string(e.key.instance))
	}
	if e.key.subject != "" {
		w.Subject = l.number(facts, e.key.subject)
	}
	facts.Facts = append(facts.Facts, w)
}

// number returns the number of a name in the dictionary of this direction.
func (l *link) number(facts *factsFrame, name string) uint64 {
	if n, known := l.names[name]; known {
		return n
	}
	n := uint64(len(l.names) + 1)
	l.names[name] = n
	facts.Names = append(facts.Names, name)
	return n
}

// encode stamps and encodes a frame and charges it to the budget.
func (l *link) encode(now time.Time, f frame) ([]byte, error) {
	f.Stamp = l.exchange.config.HLC.Now()
	if f.Facts != nil {
		f.Facts.Needed = now.Sub(l.needed) < surplusAfter
	}
	data, err := frames.Encode(f)
	if err != nil {
		return nil, err
	}
	l.sent = now
	l.exchange.bucket.spend(now, len(data)+frameOverhead)
	l.exchange.stats.SentBytes += uint64(len(data) + frameOverhead)
	l.exchange.stats.SentFrames++
	return data, nil
}
