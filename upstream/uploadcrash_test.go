package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"savorystep"
	"savorystep/standin"
	"savorystep/upstream"
)

// addCrashingServer starts a server that ends when it has read the head of a request for
// one of the given paths, and then closes the channel of the path. Other connections, such
// as one that is meant for an earlier listener at its port, don't end it.
func (tb *testbed) addCrashingServer(id savorystep.EndpointID, crashed map[string]chan struct{}) {
	tb.t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(tb.t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		tb.t.Fatal(err)
	}
	tb.t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil || crashed[request.URL.Path] == nil {
					return
				}
				_ = listener.Close()
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
				close(crashed[request.URL.Path])
			}()
		}
	}()
	tb.registry.set(savorystep.Endpoint{
		ID: id, Service: testService, Place: savorystep.Place{Region: "natal", Zone: "natal-a"},
		State: savorystep.StateLive, Address: savorystep.Address(listener.Addr().String()), Slots: 3,
	})
}

// A lateBody is a request body that arrives once the server that has read the head of the
// request has crashed.
type lateBody struct {
	crashed <-chan struct{}
	sent    bool
}

func (b *lateBody) Read(p []byte) (int, error) {
	for !b.sent {
		select {
		case <-b.crashed:
			b.sent = true
			return copy(p, "body"), nil
		default:
			runtime.Gosched()
		}
	}
	return 0, errors.New("body was read on")
}

// TestCrashDuringUpload guards against a crash between the head and the body of a request
// that is not noticed because the transport has closed the connection when it writes the
// body.
func TestCrashDuringUpload(t *testing.T) {
	tb := newTestbed(t)
	const servers = 200
	crashed := make(map[string]chan struct{})
	for i := range servers {
		crashed[fmt.Sprint("/upload/", i)] = make(chan struct{})
	}
	for i := range servers {
		tb.addCrashingServer(savorystep.EndpointID(fmt.Sprint("e", i)), crashed)
	}
	pool := tb.newPool(disableLoadPages)
	sent, missed := 0, 0
	for i := range servers {
		path := fmt.Sprint("/upload/", i)
		request := post(savorystep.RequestID(fmt.Sprint("r", i)), path)
		request.Body, request.BodyLength = &lateBody{crashed: crashed[path]}, 4
		_, err := pool.Forward(t.Context(), request)
		var failure *upstream.AttemptError
		if !errors.As(err, &failure) {
			t.Fatalf("request %d: %v, want a failed attempt", i, err)
		}
		if !failure.Sent {
			continue // The server has crashed before.
		}
		sent++
		if !failure.EndpointCrashed {
			t.Logf("request %d: %v", i, err)
			missed++
		}
	}
	if sent < servers/4 || missed > 0 {
		t.Errorf("%d of %d crashes not noticed, want none, of at least %d", missed, sent, servers/4)
	}
}

// TestCrashAfterCallerLeft guards against a request that crashes upstreams only after its
// callers have left, and is sent to all of them.
func TestCrashAfterCallerLeft(t *testing.T) {
	tb := newTestbed(t)
	for i := range 4 {
		u := tb.addUpstream(savorystep.EndpointID(fmt.Sprint("u", i)), "natal", standin.UpstreamConfig{})
		u.SetFaults(standin.UpstreamFaults{Hold: true})
	}
	instance := newInstance(tb, "instance-1", true)
	observer := tb.factBus.join("observer")
	for i := range 2 {
		ctx, leave := context.WithCancel(t.Context())
		result := make(chan error, 1)
		go func() {
			_, err := instance.Forward(ctx, post(savorystep.RequestID(fmt.Sprint("r", i)), "/poison"))
			result <- err
		}()
		var busy *standin.Upstream
		tb.eventually("the request runs", func() bool {
			for _, u := range tb.upstreams {
				if u.Load().Busy > 0 {
					busy = u
				}
			}
			return busy != nil
		})
		leave()
		wantError(t, <-result, savorystep.KindDeadlineExceeded)
		busy.Crash()
		tb.eventually("the crash is known", func() bool { return crashesOf(t, observer, 7) == i+1 })
		tb.eventually("the upstream has ended", func() bool { return busy.Load().Busy == 0 })
	}
	_, err := instance.Forward(t.Context(), post("last", "/poison"))
	wantError(t, err, savorystep.KindQuarantined)
}

// crashesOf returns the number of crashes with a fingerprint that the last fact has.
func crashesOf(t *testing.T, facts savorystep.Facts, key savorystep.Fingerprint) int {
	t.Helper()
	crashes := 0
	for _, fact := range facts.Facts(savorystep.FactCrash) {
		var body savorystep.CrashFact
		if err := cbor.Unmarshal(fact.Body, &body); err != nil {
			t.Fatal(err)
		}
		if fact.Subject == key.String() {
			crashes = len(body.Endpoints)
		}
	}
	return crashes
}
