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

// initialDigestLinks is the number of links up to which a new link sends a
// digest at once.
const initialDigestLinks = 2

// WebSocketPath is the path of the WebSocket connections between instances.
const WebSocketPath = "/peer"

// Handler serves the WebSocket connections of peers at WebSocketPath and their
// requests for statuses at StatusesPath.
func (e *Exchange) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(WebSocketPath, e.serveWebSocket)
	mux.HandleFunc("POST "+StatusesPath, e.serveStatuses)
	return mux
}

// serveWebSocket accepts a connection of a peer and returns when it has ended.
func (e *Exchange) serveWebSocket(w http.ResponseWriter, r *http.Request) {
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		logger.Debugf("accept WebSocket connection from %s: %v", r.RemoteAddr, err)
		return
	}
	conn.SetReadLimit(maxFrameBytes)
	done := make(chan struct{})
	isRunning := e.spawn(func() error {
		defer close(done)
		// The context of the request ends when the connection is hijacked.
		e.acceptPeer(context.WithoutCancel(r.Context()), conn)
		return nil
	})
	if !isRunning {
		_ = conn.Close(closeStopping, "instance does not run")
		return
	}
	<-done
}

// acceptPeer exchanges hello frames with a dialing peer and runs the link.
func (e *Exchange) acceptPeer(ctx context.Context, conn *websocket.Conn) {
	hello, err := e.readHello(ctx, conn)
	if err == nil {
		err = e.checkHello(hello)
	}
	if err == nil && !e.mayAccept(hello.Instance.ID) {
		_ = conn.Close(closeDuplicate, "connected already or too many connections")
		return
	}
	if err == nil {
		err = e.sendHello(ctx, conn, hello.Instance.ID)
	}
	if err != nil {
		e.rejectConn(conn, err)
		return
	}
	l := e.newLink(conn, hello.Instance, false)
	if !e.registerLink(l, hello.SuspectedSequence) {
		_ = conn.Close(closeDuplicate, "connected already or too many connections")
		return
	}
	e.runLink(ctx, l)
}

// connect dials a peer and runs the link in the background. With an empty ID
// any instance may answer at the address.
func (e *Exchange) connect(ctx context.Context, id savorystep.InstanceID, address savorystep.Address) error {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
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
	conn.SetReadLimit(maxFrameBytes)
	err = e.sendHello(ctx, conn, id)
	var hello *helloFrame
	if err == nil {
		hello, err = e.readHello(ctx, conn)
	}
	if err == nil {
		err = e.checkHello(hello)
	}
	if err == nil && id != "" && hello.Instance.ID != id {
		err = savorystep.NewError(savorystep.KindNotFound, "address %s belongs to instance %s, want %s", address, hello.Instance.ID, id)
	}
	if err != nil {
		e.rejectConn(conn, err)
		return err
	}
	l := e.newLink(conn, hello.Instance, true)
	if !e.registerLink(l, hello.SuspectedSequence) {
		_ = conn.Close(closeDuplicate, "connected already")
		return nil
	}
	if !e.spawn(func() error { e.runLink(context.WithoutCancel(ctx), l); return nil }) {
		e.unregisterLink(l)
		_ = conn.Close(closeStopping, "instance stops")
	}
	return nil
}

// errSelf means that an address is this instance's own.
var errSelf = errors.New("address is this instance's own")

// truncateReason limits the reason of a close frame, which may have at most 123
// bytes.
func truncateReason(reason string) string {
	const maxBytes = 120
	if len(reason) > maxBytes {
		return reason[:maxBytes]
	}
	return reason
}

func (e *Exchange) newLink(conn *websocket.Conn, instance savorystep.Instance, dialed bool) *link {
	now := e.config.Clock.Now()
	return &link{
		exchange:     e,
		peerGroups:   make(map[string]bool),
		sharedGroups: make(map[string]bool),
		peer:         instance,
		dialed:       dialed,
		conn:         conn,
		writeSignal:  make(chan struct{}, 1),
		closed:       make(chan struct{}),
		openedAt:     now,
		neededAt:     now,
		receivedAt:   now,
		pending:      make(map[factKey]bool),
		sentNames:    make(map[string]uint64),
	}
}

// mayAccept reports whether a connection dialed by a peer would be kept.
func (e *Exchange) mayAccept(id savorystep.InstanceID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if old := e.links[id]; old != nil {
		return e.isReplaceable(old, false)
	}
	return len(e.links)+e.reservedLinks < e.config.MaxConnections
}

// isReplaceable reports whether a new connection replaces an old one to the
// same peer. The parameter dialed is true if this instance opened the new
// connection. Both ends decide alike: of two connections dialed by different
// ends, the one dialed by the lesser ID is kept. A second connection dialed by
// the same end means that this end has abandoned the first one.
func (e *Exchange) isReplaceable(old *link, dialed bool) bool {
	if old.isClosed || old.dialed == dialed {
		return true
	}
	if e.config.Clock.Now().Sub(old.receivedAt) >= 2*e.config.HeartbeatInterval {
		return true
	}
	return dialed == (e.config.Self.ID < old.peer.ID)
}

// registerLink makes a link the one to its peer. It returns false if another
// link is kept or there are too many. If the peer suspects the status with
// suspectedSequence, this instance publishes a newer one.
func (e *Exchange) registerLink(l *link, suspectedSequence uint64) bool {
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
	e.monitors[id] = &monitor{contactedAt: l.receivedAt, wasConnected: true}
	now := e.config.Clock.Now()
	if m := e.store.members[e.config.Self.ID]; suspectedSequence >= m.sequence {
		e.store.lastSequence = max(e.store.lastSequence, suspectedSequence)
		e.publishStatus(now)
	}
	for _, facts := range e.store.facts {
		for key := range facts {
			// An instance that starts needs the endings of all before it sends requests.
			if key.instance == e.config.Self.ID && !isScoped(key.kind) || isEnding(key.kind) && key.instance != id {
				l.enqueue(key)
			}
		}
	}
	e.updateGroups(now)
	l.gossipDue, l.urgentPending = true, true
	// The first links deliver the missing facts. On further links the gossip
	// rounds send digests.
	l.digestDue = len(e.links) <= initialDigestLinks
	l.wakeWriter()
	e.recordEvent(savorystep.EventMember, fmt.Sprintf("connected to instance %s", id))
	return true
}

// unregisterLink removes a link that has ended.
func (e *Exchange) unregisterLink(l *link) {
	e.mu.Lock()
	defer e.mu.Unlock()
	l.close(closeSurplus, "ended")
	e.stats.ClosedLinks++
	if e.links[l.peer.ID] != l {
		return
	}
	delete(e.links, l.peer.ID)
	if len(e.links) == 0 {
		e.disconnectedAt = e.config.Clock.Now()
	}
	for _, w := range e.ackWaiters {
		if w.outstanding[l.peer.ID] {
			delete(w.outstanding, l.peer.ID)
			w.disconnected++
			w.closeIfComplete()
		}
	}
	e.wakeOverlay()
}

// runLink sends and receives frames until the link ends.
func (e *Exchange) runLink(ctx context.Context, l *link) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group errgroup.Group
	group.Go(func() error {
		defer cancel()
		err := l.writeFrames(ctx)
		// A peer that does not answer the close frame holds the connection for
		// one heartbeat interval at most. Cancelling the context ends the
		// reader, which closes the connection.
		timer := time.AfterFunc(e.config.HeartbeatInterval, cancel)
		defer timer.Stop()
		e.closeConn(l, err)
		return err
	})
	group.Go(func() error {
		err := l.readFrames(ctx)
		// Closing the link ends the writer, which sends the close frame.
		// Cancelling the writer in the middle of a message would end the
		// connection without a close frame. A peer that accepts no message
		// blocks the writer for PeerTimeout at most.
		e.mu.Lock()
		if savorystep.KindOf(err) == savorystep.KindBadRequest || savorystep.KindOf(err) == savorystep.KindTooLarge {
			e.stats.RejectedFrames++
			l.close(closeBadFrame, truncateReason(err.Error()))
			logger.Warningf("instance %s sent an invalid frame: %v", l.peer.ID, err)
		} else {
			l.close(closeSurplus, "connection ended")
		}
		e.mu.Unlock()
		if code := websocket.CloseStatus(err); code == closeSurplus || code == closeDuplicate {
			e.stopMonitoring(l)
		}
		return err
	})
	err := group.Wait()
	logger.Debugf("connection to instance %s ended: %v", l.peer.ID, err)
	e.unregisterLink(l)
}

// closeConn closes the connection after the writer has ended. It sends a close
// frame only if the peer may still read it.
func (e *Exchange) closeConn(l *link, err error) {
	e.mu.Lock()
	l.close(closeSurplus, "connection ended")
	code, reason := l.closeCode, l.closeReason
	e.mu.Unlock()
	if err != nil || code == closeTimeout {
		_ = l.conn.CloseNow()
		return
	}
	_ = l.conn.Close(code, reason)
}

// stopMonitoring ends the monitoring of a peer that closed the connection
// because it does not need it or has too many. The peer's own neighbours
// monitor it.
func (e *Exchange) stopMonitoring(l *link) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.links[l.peer.ID] == l {
		delete(e.monitors, l.peer.ID)
	}
}

// suspectedSequence returns the sequence of the status under which an instance
// is suspected or was removed, 0 if neither is the case.
func (s *store) suspectedSequence(id savorystep.InstanceID) uint64 {
	if current := s.suspicions[id]; current != nil {
		return current.sequence
	}
	return s.tombstones[id].sequence
}

// backoff returns the time to wait after a number of consecutive failures.
func backoff(failures int) time.Duration {
	const initial, limit = 100 * time.Millisecond, 2 * time.Second
	if failures > 5 {
		return limit
	}
	return min(limit, initial<<failures)
}
