package peer

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/coder/websocket"
	"golang.org/x/sync/errgroup"

	"savorystep"
)

// firstDigests is the number of connections on which a digest is sent at once.
const firstDigests = 2

// WebSocketPath is the path of the WebSocket.
const WebSocketPath = "/peer"

// Handler serves the WebSocket of peers at Path and their requests for statuses
// at StatusesPath.
func (e *Exchange) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(WebSocketPath, e.serve)
	mux.HandleFunc("POST "+StatusesPath, e.serveStatuses)
	return mux
}

// serve accepts the connection of a peer and returns when it has ended.
func (e *Exchange) serve(w http.ResponseWriter, r *http.Request) {
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		logger.Debugf("accept: %v", err)
		return
	}
	conn.SetReadLimit(maxFrame)
	done := make(chan struct{})
	running := e.spawn(func() error {
		defer close(done)
		// The request's context ends when the connection was taken over.
		e.accept(context.WithoutCancel(r.Context()), conn)
		return nil
	})
	if !running {
		_ = conn.Close(closeStopping, "instance does not run")
		return
	}
	<-done
}

// accept exchanges hellos with a dialing peer and runs the link.
func (e *Exchange) accept(ctx context.Context, conn *websocket.Conn) {
	hello, err := e.readHello(ctx, conn)
	if err == nil {
		err = e.check(hello)
	}
	if err == nil && !e.mayAccept(hello.Instance.ID) {
		_ = conn.Close(closeDuplicate, "connected already or too many connections")
		return
	}
	if err == nil {
		err = e.sendHello(ctx, conn, hello.Instance.ID)
	}
	if err != nil {
		e.refuse(conn, err)
		return
	}
	l := e.newLink(conn, hello.Instance, false)
	if !e.register(l, hello.Suspected) {
		_ = conn.Close(closeDuplicate, "connected already or too many connections")
		return
	}
	e.run(ctx, l)
}

// connect dials a peer and runs the link in the background. An empty ID means
// that any instance may answer.
func (e *Exchange) connect(ctx context.Context, id savorystep.InstanceID, address savorystep.Address) error {
	ctx, cancel := context.WithTimeout(ctx, handshakeTime)
	defer cancel()
	scheme := "ws"
	if e.config.TLS != nil {
		scheme = "wss"
	}
	conn, response, err := websocket.Dial(ctx, scheme+"://"+string(address)+WebSocketPath, &websocket.DialOptions{HTTPClient: e.client})
	if response != nil && response.Body != nil {
		defer response.Body.Close() //nolint:errcheck // The connection was taken over.
	}
	if err != nil {
		return err
	}
	conn.SetReadLimit(maxFrame)
	err = e.sendHello(ctx, conn, id)
	var hello *helloFrame
	if err == nil {
		hello, err = e.readHello(ctx, conn)
	}
	if err == nil {
		err = e.check(hello)
	}
	if err == nil && id != "" && hello.Instance.ID != id {
		err = savorystep.NewError(savorystep.KindNotFound, "address %s has instance %s, not %s", address, hello.Instance.ID, id)
	}
	if err != nil {
		e.refuse(conn, err)
		return err
	}
	l := e.newLink(conn, hello.Instance, true)
	if !e.register(l, hello.Suspected) {
		_ = conn.Close(closeDuplicate, "connected already")
		return nil
	}
	if !e.spawn(func() error { e.run(context.WithoutCancel(ctx), l); return nil }) {
		e.unregister(l)
		_ = conn.Close(closeStopping, "instance stops")
	}
	return nil
}

// errSelf means that an address leads to this instance itself.
var errSelf = errors.New("address is this instance's own")

// shorten bounds the reason of a close frame, which may have 123 bytes.
func shorten(reason string) string {
	const most = 120
	if len(reason) > most {
		return reason[:most]
	}
	return reason
}

func (e *Exchange) newLink(conn *websocket.Conn, instance savorystep.Instance, dialed bool) *link {
	now := e.config.Clock.Now()
	return &link{
		exchange:  e,
		interests: make(map[string]bool),
		sharing:   make(map[string]bool),
		peer:      instance,
		dialed:    dialed,
		conn:      conn,
		wake:      make(chan struct{}, 1),
		end:       make(chan struct{}),
		opened:    now,
		needed:    now,
		heard:     now,
		pending:   make(map[factKey]bool),
		names:     make(map[string]uint64),
	}
}

// mayAccept reports whether a connection dialed by a peer would be kept.
func (e *Exchange) mayAccept(id savorystep.InstanceID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if old := e.links[id]; old != nil {
		return e.isReplaceable(old, false)
	}
	return len(e.links)+e.reserved < e.config.MaxConnections
}

// isReplaceable reports whether a new connection replaces an old one to the
// same peer. Both ends decide alike: of two connections dialed by different
// ends the one dialed by the lesser ID stays. A second one dialed by the same
// end means that this end has given up the first one.
func (e *Exchange) isReplaceable(old *link, dialed bool) bool {
	if old.ended || old.dialed == dialed {
		return true
	}
	if e.config.Clock.Now().Sub(old.heard) >= 2*e.config.HeartbeatInterval {
		return true
	}
	return dialed == (e.config.Self.ID < old.peer.ID)
}

// register makes a link the one to its peer. It returns false if another one
// stays.
func (e *Exchange) register(l *link, suspected uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := l.peer.ID
	if old := e.links[id]; old != nil {
		if !e.isReplaceable(old, l.dialed) {
			return false
		}
		old.close(closeDuplicate, "replaced")
	} else if len(e.links) >= e.config.MaxConnections {
		return false
	}
	if e.tasks == nil {
		return false
	}
	e.links[id] = l
	if l.dialed {
		e.stats.DialedLinks++
	}
	e.watches[id] = &watch{heard: l.heard, linked: true}
	now := e.config.Clock.Now()
	if m := e.store.members[e.config.Self.ID]; suspected >= m.sequence {
		e.store.sequence = max(e.store.sequence, suspected)
		e.stateStatus(now)
	}
	for _, facts := range e.store.facts {
		for key := range facts {
			if key.instance == e.config.Self.ID && !isScoped(key.kind) {
				l.add(key)
			}
		}
	}
	e.keepGroups(now)
	l.due, l.urgent = true, true
	// The first connections bring the facts; on further ones the rounds do.
	l.digest = len(e.links) <= firstDigests
	l.signal()
	e.record(savorystep.EventMember, fmt.Sprintf("connected to instance %s", id))
	return true
}

// unregister removes an ended link.
func (e *Exchange) unregister(l *link) {
	e.mu.Lock()
	defer e.mu.Unlock()
	l.close(closeSurplus, "ended")
	e.stats.ClosedLinks++
	if e.links[l.peer.ID] != l {
		return
	}
	delete(e.links, l.peer.ID)
	if len(e.links) == 0 {
		e.alone = e.config.Clock.Now()
	}
	for _, w := range e.waiters {
		if w.outstanding[l.peer.ID] {
			delete(w.outstanding, l.peer.ID)
			w.lost++
			w.settle()
		}
	}
	e.wakeOverlay()
}

// run sends and receives until the link ends.
func (e *Exchange) run(ctx context.Context, l *link) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group errgroup.Group
	group.Go(func() error {
		defer cancel()
		err := l.write(ctx)
		// A peer that does not answer the close frame holds the connection
		// for a heartbeat at most; ending the reader closes it.
		timer := time.AfterFunc(e.config.HeartbeatInterval, cancel)
		defer timer.Stop()
		e.finish(l, err)
		return err
	})
	group.Go(func() error {
		err := l.read(ctx)
		// The close below ends the writer, which sends the close frame. Cancelling
		// it in the middle of a message would end the connection without one. A
		// message that the peer does not take is bounded by Silence.
		e.mu.Lock()
		if savorystep.KindOf(err) == savorystep.KindBadRequest || savorystep.KindOf(err) == savorystep.KindTooLarge {
			e.stats.RejectedFrames++
			l.close(closeBadFrame, shorten(err.Error()))
			logger.Warningf("instance %s sent a bad frame: %v", l.peer.ID, err)
		} else {
			l.close(closeSurplus, "connection ended")
		}
		e.mu.Unlock()
		if code := websocket.CloseStatus(err); code == closeSurplus || code == closeDuplicate {
			e.unwatch(l)
		}
		return err
	})
	err := group.Wait()
	logger.Debugf("connection to instance %s ended: %v", l.peer.ID, err)
	e.unregister(l)
}

// finish closes the connection after the writer ended. The close frame is sent
// only if the peer may still read it.
func (e *Exchange) finish(l *link, err error) {
	e.mu.Lock()
	l.close(closeSurplus, "connection ended")
	code, reason := l.code, l.reason
	e.mu.Unlock()
	if err != nil || code == closeSilent {
		_ = l.conn.CloseNow()
		return
	}
	_ = l.conn.Close(code, reason)
}

// unwatch ends the monitoring of a peer that closed a connection because it did
// not choose it or has too many. Its own neighbours monitor it.
func (e *Exchange) unwatch(l *link) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.links[l.peer.ID] == l {
		delete(e.watches, l.peer.ID)
	}
}

// suspectedSequence returns the sequence of an instance's status under which
// it is suspected or forgotten here, or 0.
func (s *store) suspectedSequence(id savorystep.InstanceID) uint64 {
	if current := s.suspicions[id]; current != nil {
		return current.sequence
	}
	return s.tombstones[id].sequence
}

// backoff returns the time to wait after a number of failures in a row.
func backoff(failures int) time.Duration {
	const first, most = 100 * time.Millisecond, 2 * time.Second
	if failures > 5 {
		return most
	}
	return min(most, first<<failures)
}
