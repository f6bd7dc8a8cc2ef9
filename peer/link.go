package peer

import (
	"context"
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
	ctx, cancel := context.WithTimeout(ctx, l.exchange.config.PeerTimeout)
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
