package peer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"savorystep"
)

// A pipeListener accepts the connections of its dial function.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	close(l.closed)
	return nil
}

func (*pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	l.conns <- server
	return client, nil
}

// TestCatchUpAfterFailedRequests guards against an instance that takes requests without a
// response for responses without news, and stops asking for the statuses that it lacks.
func TestCatchUpAfterFailedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		listener := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
		known := New(Config{Secret: "secret", Self: savorystep.Instance{ID: "known"}})
		known.store.merge(now, savorystep.Fact{Instance: "missing", Sequence: 1, Kind: savorystep.FactStatus, Body: statusBody("missing", true)}, now)
		server := &http.Server{Handler: known.Handler(), ReadHeaderTimeout: time.Minute}
		served := make(chan error, 1)
		go func() { served <- server.Serve(listener) }()
		const outage = 100 * time.Second
		e := New(Config{Secret: "secret", Self: savorystep.Instance{ID: "self"}, Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			if time.Since(now) < outage {
				return nil, errors.New("no response")
			}
			return listener.dial(ctx, network, address)
		}})
		e.store.merge(now, savorystep.Fact{Instance: "known", Sequence: 1, Kind: savorystep.FactStatus, Body: statusBody("known", true)}, now)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- e.runCatchUp(ctx) }()
		time.Sleep(outage + maxCatchUpPause + time.Second)
		synctest.Wait()
		if _, isMember := e.store.members["missing"]; !isMember {
			t.Errorf("%d members %v after the outage, want the missing one", len(e.store.members), maxCatchUpPause)
		}
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		_ = server.Close()
		if err := <-served; !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	})
}
