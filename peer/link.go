package peer

import (
	"context"
	"time"

	"github.com/coder/websocket"

	"savorystep"
)

// A link is the connection to one peer. Its fields below conn are guarded by
// the exchange's mutex, except receivedNames, which only the reading goroutine
// uses.
type link struct {
	exchange *Exchange
	peer     savorystep.Instance
	// dialed is true if this instance opened the connection.
	dialed bool
	conn   *websocket.Conn
	// writeSignal wakes the writing goroutine when there is a frame to send.
	writeSignal chan struct{}
	// closed is closed by close, after closeCode and closeReason have been set.
	closed chan struct{}

	// closeCode and closeReason are sent to the peer when the link is closed.
	isClosed    bool
	closeCode   websocket.StatusCode
	closeReason string

	openedAt time.Time
	// neededAt is when this instance last chose the peer as a neighbour or
	// broker. neededByPeer is true if the peer has chosen this instance.
	neededAt     time.Time
	neededByPeer bool
	receivedAt   time.Time
	sentAt       time.Time

	// pending holds the facts to send. The value is true for facts that the
	// peer lacks according to its digest or summary. These are sent after the
	// others and in random order, since several instances send them to the same
	// peer.
	pending map[factKey]bool
	// controlFrames holds the frames to send before all others.
	controlFrames []frame
	pushes        []push
	// gossipDue is set when a gossip round has chosen this link, urgentPending
	// when an urgent fact is pending, heartbeatDue and digestDue when a
	// heartbeat or a digest has to be sent.
	gossipDue, urgentPending, heartbeatDue, digestDue bool
	summaries                                         []*summary
	// sentPartVersions holds the version of the revision table at which each
	// part of the revision vector was last sent. announcedRevision is the
	// greatest revision sent or received in a vector on this link, sentRevision
	// the last revision of this instance that was sent.
	sentPartVersions  [vectorParts]uint64
	announcedRevision savorystep.Revision
	sentRevision      savorystep.Revision
	// receivedRevision is the greatest revision that the peer has reported to
	// be in force at itself.
	receivedRevision savorystep.Revision

	// peerGroups holds the groups of scoped facts that the peer publishes to,
	// sharedGroups the groups whose local facts have been queued for the peer.
	peerGroups, sharedGroups map[string]bool

	// sentNames and receivedNames are the dictionaries of the two directions.
	// sentNames maps each name to its index, counted from 1.
	sentNames     map[string]uint64
	receivedNames []string
}

// A push is a fact that is sent immediately and that the peer acknowledges.
type push struct {
	ackID uint64
	key   factKey
}

const (
	// frameOverheadBytes is the size of a WebSocket header with mask and
	// extended length.
	frameOverheadBytes = 8
	// maxGossipBytes limits the facts in one gossip frame, so that a frame fits
	// into the burst of the byte budget.
	maxGossipBytes = 800
	// factOverheadBytes is an upper bound of the encoded size of a fact without
	// its strings and body: an array of six elements whose numbers have their
	// longest common form.
	factOverheadBytes = 20
	// maxPendingFacts limits the facts queued for one peer. Anti-entropy
	// delivers those that are dropped.
	maxPendingFacts = 8192
	// revisionBytes is the encoded size of the sender's revision in a frame.
	revisionBytes = 10
	// reservedBytes is the part of the burst that is reserved for urgent facts
	// and heartbeats.
	reservedBytes = 200
)

// close ends the link with a status code and a reason. The caller holds the
// exchange's mutex.
func (l *link) close(code websocket.StatusCode, reason string) {
	if l.isClosed {
		return
	}
	l.isClosed = true
	l.closeCode, l.closeReason = code, reason
	close(l.closed)
}

// wakeWriter wakes the writing goroutine.
func (l *link) wakeWriter() {
	select {
	case l.writeSignal <- struct{}{}:
	default:
	}
}

// enqueue queues a fact for the peer. The caller holds the exchange's mutex.
func (l *link) enqueue(key factKey) {
	if len(l.pending) >= maxPendingFacts {
		return
	}
	l.pending[key] = false
	if isUrgent(key.kind) {
		l.urgentPending = true
		l.wakeWriter()
	}
}

// enqueueMissing queues a fact that the peer lacks according to anti-entropy.
// The caller holds the exchange's mutex.
func (l *link) enqueueMissing(key factKey) {
	if _, isPending := l.pending[key]; !isPending && len(l.pending) < maxPendingFacts {
		l.pending[key] = true
	}
}

// writeFrames sends frames until the link is closed.
func (l *link) writeFrames(ctx context.Context) error {
	for {
		for {
			data, err := l.nextMessage()
			if err != nil {
				return err
			}
			if data == nil {
				break
			}
			if err := l.writeMessage(ctx, data); err != nil {
				return err
			}
		}
		select {
		case <-l.writeSignal:
		case <-l.closed:
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

// writeMessage sends one WebSocket message. It fails if the peer does not
// accept the message within PeerTimeout.
func (l *link) writeMessage(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, l.exchange.config.PeerTimeout)
	defer cancel()
	return l.conn.Write(ctx, websocket.MessageBinary, data)
}

// nextMessage returns the next message to send, nil if there is none.
func (l *link) nextMessage() ([]byte, error) {
	e := l.exchange
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.config.Clock.Now()
	if l.isClosed {
		return nil, nil
	}
	if len(l.controlFrames) > 0 {
		f := l.controlFrames[0]
		l.controlFrames = l.controlFrames[1:]
		return l.encodeFrame(now, f)
	}
	if len(l.pushes) > 0 {
		p := l.pushes[0]
		l.pushes = l.pushes[1:]
		facts := &factsFrame{AckID: p.ackID}
		if entry := e.store.get(p.key); entry != nil {
			l.addFact(now, facts, entry)
			delete(l.pending, p.key)
		} else {
			facts.Revision = e.store.members[e.config.Self.ID].revision
			l.sentRevision = facts.Revision
		}
		return l.encodeFrame(now, frame{Facts: facts})
	}
	facts := l.nextGossip(now)
	if facts == nil {
		return nil, nil
	}
	l.heartbeatDue = false
	return l.encodeFrame(now, frame{Facts: facts})
}

// readFrames receives and handles frames until the connection ends or a frame
// is invalid.
func (l *link) readFrames(ctx context.Context) error {
	for {
		_, data, err := l.conn.Read(ctx)
		if err != nil {
			return err
		}
		f, err := decodeFrame(data)
		if err == nil {
			err = l.exchange.handleFrame(l, f, len(data))
		}
		if err != nil {
			return err
		}
	}
}

// resolveFacts returns the facts of a frame with their names looked up in the
// dictionary of received names.
func (l *link) resolveFacts(f *factsFrame) ([]savorystep.Fact, error) {
	if f.Reset {
		l.receivedNames = nil
	}
	if len(l.receivedNames)+len(f.Names) > maxDictionaryNames+len(f.Facts)*2 {
		return nil, savorystep.NewError(savorystep.KindTooLarge, "dictionary has %d names, limit %d", len(l.receivedNames)+len(f.Names), maxDictionaryNames+len(f.Facts)*2)
	}
	l.receivedNames = append(l.receivedNames, f.Names...)
	facts := make([]savorystep.Fact, 0, len(f.Facts))
	for _, w := range f.Facts {
		fact := savorystep.Fact{Instance: l.peer.ID, Sequence: w.Sequence, Kind: w.Kind, Body: w.Body}
		if w.Instance > uint64(len(l.receivedNames)) || w.Subject > uint64(len(l.receivedNames)) {
			return nil, savorystep.NewError(savorystep.KindBadRequest, "fact has name indexes %d and %d, dictionary has %d names", w.Instance, w.Subject, len(l.receivedNames))
		}
		if w.Instance > 0 {
			fact.Instance = savorystep.InstanceID(l.receivedNames[w.Instance-1])
		}
		if w.Subject > 0 {
			fact.Subject = l.receivedNames[w.Subject-1]
		}
		facts = append(facts, fact)
	}
	return facts, nil
}
