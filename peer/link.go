package peer

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/coder/websocket"

	"savorystep"
)

// A link is the connection to one peer. Its fields below conn are guarded by
// the exchange's mutex, except heardNames, which only the reader uses.
type link struct {
	exchange *Exchange
	peer     savorystep.Instance
	// dialed is true if this instance opened the connection.
	dialed bool
	conn   *websocket.Conn
	// wake tells the writer that there is something to send.
	wake chan struct{}
	// end closes when the link shall end, after reason was set.
	end chan struct{}

	ended  bool
	code   websocket.StatusCode
	reason string

	opened time.Time
	// needed is when the connection was last among the chosen ones here,
	// wanted is true if it is at the peer.
	needed time.Time
	wanted bool
	heard  time.Time
	sent   time.Time

	// pending holds the facts to send, with true for facts that the peer lacks according to a digest.
	// They follow after the others and in random order, since several
	// instances answer the same peer.
	pending map[factKey]bool
	// control holds the frames to send at once.
	control []frame
	pushes  []push
	// due is set when a round chose this link, urgent when an urgent fact is
	// pending, beat when a heartbeat is due, digest when a digest is due.
	due, urgent, beat, digest bool
	summaries                 []*summary
	// partsSent are the versions of the revision table when each part of the
	// vector was sent, topSent the greatest revision announced, revisionSent
	// the own revision last sent.
	partsSent    [vectorParts]uint64
	topSent      savorystep.Revision
	revisionSent savorystep.Revision
	// revisionHeard is the revision in force at the peer.
	revisionHeard savorystep.Revision

	// interests are the groups that the peer states facts of, sharing those of
	// which it has been sent the own facts.
	interests, sharing map[string]bool

	names      map[string]uint64
	heardNames []string
}

// A push is a fact to send at once that the peer acknowledges.
type push struct {
	number uint64
	key    factKey
}

const (
	// frameOverhead is the size of a WebSocket header with mask and extended
	// length.
	frameOverhead = 8
	// maxGossip bounds the facts in one regular frame, in bytes, so that one
	// frame fits into the burst of the budget.
	maxGossip = 800
	// factOverhead is a bound of the size of a fact without its strings and
	// body: an array of six with the numbers in their longest usual form.
	factOverhead = 20
	// maxPending bounds the facts waiting for one peer. What is dropped comes
	// with the comparison of digests.
	maxPending = 8192
	// revisionSize is the size of an own revision in a frame, in bytes.
	revisionSize = 10
	// reserve is the part of the burst kept for urgent facts and heartbeats.
	reserve = 200
)

// close ends the link. The exchange's mutex is held.
func (l *link) close(code websocket.StatusCode, reason string) {
	if l.ended {
		return
	}
	l.ended = true
	l.code, l.reason = code, reason
	close(l.end)
}

// signal wakes the writer.
func (l *link) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// add puts a fact among those to send. The exchange's mutex is held.
func (l *link) add(key factKey) {
	if len(l.pending) >= maxPending {
		return
	}
	l.pending[key] = false
	if isUrgent(key.kind) {
		l.urgent = true
		l.signal()
	}
}

// offer puts a fact that the peer lacks among those to send. The exchange's
// mutex is held.
func (l *link) offer(key factKey) {
	if _, waiting := l.pending[key]; !waiting && len(l.pending) < maxPending {
		l.pending[key] = true
	}
}

// write sends frames until the link ends.
func (l *link) write(ctx context.Context) error {
	for {
		for {
			data, err := l.next()
			if err != nil {
				return err
			}
			if data == nil {
				break
			}
			if err := l.send(ctx, data); err != nil {
				return err
			}
		}
		select {
		case <-l.wake:
		case <-l.end:
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

// send writes one message. A peer that takes nothing for as long as a silent
// connection is given up.
func (l *link) send(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, l.exchange.config.Silence)
	defer cancel()
	return l.conn.Write(ctx, websocket.MessageBinary, data)
}

// next returns the next message to send or nil.
func (l *link) next() ([]byte, error) {
	e := l.exchange
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.config.Clock.Now()
	if l.ended {
		return nil, nil
	}
	if len(l.control) > 0 {
		f := l.control[0]
		l.control = l.control[1:]
		return l.encode(now, f)
	}
	if len(l.pushes) > 0 {
		p := l.pushes[0]
		l.pushes = l.pushes[1:]
		facts := &factsFrame{Push: p.number}
		if entry := e.store.get(p.key); entry != nil {
			l.append(now, facts, entry)
			delete(l.pending, p.key)
		} else {
			facts.Revision = e.store.members[e.config.Self.ID].revision
			l.revisionSent = facts.Revision
		}
		return l.encode(now, frame{Facts: facts})
	}
	facts := l.compose(now)
	if facts == nil {
		return nil, nil
	}
	l.beat = false
	return l.encode(now, frame{Facts: facts})
}

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
		e.vectorNext = now.Add(time.Duration(2 * float64(v.size()) / float64(e.config.Bytes) * float64(time.Second)))
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
	l.exchange.stats.Sent += uint64(len(data) + frameOverhead)
	l.exchange.stats.FramesSent++
	return data, nil
}

// read receives frames until the link ends.
func (l *link) read(ctx context.Context) error {
	for {
		_, data, err := l.conn.Read(ctx)
		if err != nil {
			return err
		}
		f, err := decodeFrame(data)
		if err == nil {
			err = l.exchange.receive(l, f, len(data))
		}
		if err != nil {
			return err
		}
	}
}

// resolve returns the facts of a frame with their strings.
func (l *link) resolve(f *factsFrame) ([]savorystep.Fact, error) {
	if f.Reset {
		l.heardNames = nil
	}
	if len(l.heardNames)+len(f.Names) > maxNames+len(f.Facts)*2 {
		return nil, savorystep.NewError(savorystep.KindTooLarge, "dictionary exceeds %d names", maxNames)
	}
	l.heardNames = append(l.heardNames, f.Names...)
	facts := make([]savorystep.Fact, 0, len(f.Facts))
	for _, w := range f.Facts {
		fact := savorystep.Fact{Instance: l.peer.ID, Sequence: w.Sequence, Kind: w.Kind, Body: w.Body}
		if w.Instance > uint64(len(l.heardNames)) || w.Subject > uint64(len(l.heardNames)) {
			return nil, savorystep.NewError(savorystep.KindBadRequest, "fact has a name outside of the dictionary")
		}
		if w.Instance > 0 {
			fact.Instance = savorystep.InstanceID(l.heardNames[w.Instance-1])
		}
		if w.Subject > 0 {
			fact.Subject = l.heardNames[w.Subject-1]
		}
		facts = append(facts, fact)
	}
	return facts, nil
}
