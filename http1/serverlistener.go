package http1

import (
	"errors"
	"net"
	"time"
)

// minAcceptDelay and maxAcceptDelay bound the wait after a failed Accept, which doubles
// with each failure in a row.
const (
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = time.Second
)

// A serverListener accepts connections as serverConns.
type serverListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener. It returns an error only if the listener is closed: the
// kernel also reports that it lacks memory or that a new connection has failed already,
// which must not end the server.
func (l *serverListener) Accept() (net.Conn, error) {
	for delay := minAcceptDelay; ; delay = min(2*delay, maxAcceptDelay) {
		accepted, err := l.Listener.Accept()
		if err == nil {
			c := &serverConn{Conn: accepted, server: l.server, since: time.Now(), inHandshake: l.server.config.TLS != nil}
			l.server.track(c)
			return c, nil
		}
		if errors.Is(err, net.ErrClosed) || l.server.isStopped.Load() {
			return nil, err
		}
		log.Warningf("accept on %s, trying again in %v: %v", l.Addr(), delay, err)
		time.Sleep(delay)
	}
}
