package peer

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/coder/websocket"

	"savorystep"
)

// startExchange runs an exchange behind a test server and returns the URL of its
// WebSocket.
func startExchange(t *testing.T, config Config) (*Exchange, string) {
	t.Helper()
	config.Secret = "secret"
	e := New(config)
	ctx, cancel := context.WithCancel(context.Background())
	done := e.Start(ctx)
	server := httptest.NewServer(e.Handler())
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
		server.Close()
	})
	return e, "ws" + strings.TrimPrefix(server.URL, "http") + WebSocketPath
}

// A rawPeer sends and receives single frames.
type rawPeer struct {
	t    *testing.T
	conn *websocket.Conn
}

func dialRaw(t *testing.T, url string) *rawPeer {
	t.Helper()
	conn, response, err := websocket.Dial(t.Context(), url, nil)
	if err != nil {
		t.Fatal(err)
	}
	if response.Body != nil {
		_ = response.Body.Close()
	}
	conn.SetReadLimit(maxFrameBytes)
	t.Cleanup(func() { _ = conn.CloseNow() })
	return &rawPeer{t: t, conn: conn}
}

func (p *rawPeer) send(f frame) {
	p.t.Helper()
	data, err := frameCodec.Encode(f)
	if err != nil {
		p.t.Fatal(err)
	}
	p.write(data)
}

func (p *rawPeer) write(data []byte) {
	p.t.Helper()
	if err := p.conn.Write(p.t.Context(), websocket.MessageBinary, data); err != nil {
		p.t.Fatal(err)
	}
}

// hello sends a hello frame and waits for that of the exchange.
func (p *rawPeer) hello(id savorystep.InstanceID) {
	p.t.Helper()
	secret := sha256.Sum256([]byte("secret"))
	p.send(frame{Hello: &helloFrame{Version: protocolVersion, Instance: savorystep.Instance{ID: id}, SecretHash: secret[:]}})
	p.receive(func(f frame) bool { return f.Hello != nil })
}

// receive reads frames until one matches.
func (p *rawPeer) receive(matches func(frame) bool) frame {
	p.t.Helper()
	for {
		_, data, err := p.conn.Read(p.t.Context())
		if err != nil {
			p.t.Fatal(err)
		}
		f, err := decodeFrame(data)
		if err != nil {
			p.t.Fatal(err)
		}
		if matches(f) {
			return f
		}
	}
}

// waitForClose reads until the connection ends and returns its close frame.
func (p *rawPeer) waitForClose() websocket.CloseError {
	p.t.Helper()
	for {
		_, _, err := p.conn.Read(p.t.Context())
		if err == nil {
			continue
		}
		var closed websocket.CloseError
		if !errors.As(err, &closed) {
			p.t.Fatalf("connection ended without a close frame: %v", err)
		}
		return closed
	}
}

// TestInvalidFrames guards against invalid frames that are accepted, and
// against connections that end without a reason.
func TestInvalidFrames(t *testing.T) {
	e, url := startExchange(t, Config{Self: savorystep.Instance{ID: "self"}})
	encode := func(f frame) []byte {
		data, err := encMode.Marshal(f)
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	secret := sha256.Sum256([]byte("secret"))
	wrong := sha256.Sum256([]byte("other"))
	instance := savorystep.Instance{ID: "raw"}
	unknownField, err := encMode.Marshal(map[int]any{1: map[int]any{1: 1, 2: 1}, 99: 1})
	if err != nil {
		t.Fatal(err)
	}
	facts := func(f factsFrame) []byte { return encode(frame{Facts: &f}) }
	cases := []struct {
		name   string
		first  []byte
		after  []byte
		code   websocket.StatusCode
		reason string
	}{
		{name: "bad first frame", first: []byte("garbage"), code: closeBadFrame, reason: "decode"},
		{name: "own ID", first: encode(frame{Hello: &helloFrame{Version: protocolVersion, Instance: e.Self(), SecretHash: secret[:]}}), code: closeBadFrame, reason: "own"},
		{name: "no hello", first: facts(factsFrame{}), code: closeBadFrame, reason: "hello"},
		{name: "wrong secret", first: encode(frame{Hello: &helloFrame{Version: protocolVersion, Instance: instance, SecretHash: wrong[:]}}), code: closeUnauthorized, reason: "secret"},
		{name: "wrong version", first: encode(frame{Hello: &helloFrame{Version: 99, Instance: instance, SecretHash: secret[:]}}), code: closeBadFrame, reason: "version"},
		{name: "bad digest", after: facts(factsFrame{Digest: []byte{1}}), code: closeBadFrame, reason: "digest"},
		{name: "bad vector", after: facts(factsFrame{Vector: &revisionVector{Revision: 1, GroupCount: 3}}), code: closeBadFrame, reason: "groups"},
		{name: "garbage", after: []byte("garbage"), code: closeBadFrame, reason: "decode"},
		{name: "large body", after: facts(factsFrame{Facts: []wireFact{{Sequence: 1, Kind: 6, Body: make([]byte, maxBodyBytes+1)}}}), code: closeBadFrame, reason: "body"},
		{name: "large dictionary", after: facts(factsFrame{Names: manyNames()}), code: closeBadFrame, reason: "dictionary"},
		{name: "name outside", after: facts(factsFrame{Facts: []wireFact{{Instance: 7, Sequence: 1, Kind: 6}}}), code: closeBadFrame, reason: "dictionary"},
		{name: "negative limit", after: encode(frame{ChangesRequest: &changesRequestFrame{Limit: -1}}), code: closeBadFrame, reason: "limit"},
		{name: "second hello", after: encode(frame{Hello: &helloFrame{Instance: instance}}), code: closeBadFrame, reason: "second"},
		{name: "two parts", after: encode(frame{Ack: &ackFrame{}, ChangesRequest: &changesRequestFrame{}}), code: closeBadFrame, reason: "parts"},
		{name: "unknown field", after: unknownField, code: closeBadFrame, reason: "unknown field"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := dialRaw(t, url)
			if c.after != nil {
				p.hello(savorystep.InstanceID(c.name))
				p.write(c.after)
			} else {
				p.write(c.first)
			}
			closed := p.waitForClose()
			if closed.Code != c.code || !strings.Contains(closed.Reason, c.reason) {
				t.Errorf("closed with %d %q, want %d %q", closed.Code, closed.Reason, c.code, c.reason)
			}
		})
	}
	if kept := len(e.Facts(savorystep.FactCrash)); kept != 0 {
		t.Errorf("%d facts of rejected frames stored, want 0", kept)
	}
}

func manyNames() []string {
	names := make([]string, maxDictionaryNames+1)
	for i := range names {
		names[i] = fmt.Sprint("n", i)
	}
	return names
}

// TestInvalidFrameKeepsOtherFacts guards against an invalid frame that discards
// the facts received before from the same peer or from others.
func TestInvalidFrameKeepsOtherFacts(t *testing.T) {
	e, url := startExchange(t, Config{Self: savorystep.Instance{ID: "self"}})
	good, bad := dialRaw(t, url), dialRaw(t, url)
	sendCrash := func(p *rawPeer, id savorystep.InstanceID) {
		p.hello(id)
		p.send(frame{Facts: &factsFrame{Names: []string{"x"}, Facts: []wireFact{{Sequence: 1, Kind: savorystep.FactCrash, Subject: 1}}, AckID: 1}})
		p.receive(func(f frame) bool { return f.Ack != nil && f.Ack.AckID == 1 })
	}
	sendCrash(good, "good")
	sendCrash(bad, "bad")
	bad.write(bytes.Repeat([]byte{0xff}, 100))
	if closed := bad.waitForClose(); closed.Code != closeBadFrame {
		t.Errorf("closed with %d, want %d", closed.Code, closeBadFrame)
	}
	if kept := len(e.Facts(savorystep.FactCrash)); kept != 2 {
		t.Errorf("%d crash facts stored, want 2", kept)
	}
	good.send(frame{Facts: &factsFrame{AckID: 2}})
	good.receive(func(f frame) bool { return f.Ack != nil && f.Ack.AckID == 2 })
}

// TestOneConnectionPerPair guards against two connections between the same
// instances: of two dialed by the same peer, the newer one is kept and the
// older one is closed.
func TestOneConnectionPerPair(t *testing.T) {
	e, url := startExchange(t, Config{Self: savorystep.Instance{ID: "self"}})
	one := dialRaw(t, url)
	one.hello("raw")
	one.send(frame{Facts: &factsFrame{AckID: 1}})
	one.receive(func(f frame) bool { return f.Ack != nil })
	two := dialRaw(t, url)
	two.hello("raw")
	if closed := one.waitForClose(); closed.Code != closeDuplicate {
		t.Errorf("first connection closed with %d, want %d", closed.Code, closeDuplicate)
	}
	two.send(frame{Facts: &factsFrame{AckID: 1}})
	two.receive(func(f frame) bool { return f.Ack != nil })
	if links := e.Stats().Links; links != 1 {
		t.Errorf("%d connections, want 1", links)
	}
}

// TestOwnFactsAreProtected guards against a peer that publishes facts in the
// name of this instance.
func TestOwnFactsAreProtected(t *testing.T) {
	e, url := startExchange(t, Config{Self: savorystep.Instance{ID: "self"}})
	e.Publish(savorystep.FactCrash, "x", savorystep.CrashFact{Endpoints: []savorystep.EndpointID{"a"}})
	p := dialRaw(t, url)
	p.hello("raw")
	p.send(frame{Facts: &factsFrame{
		Names: []string{"self", "x"},
		Facts: []wireFact{{Instance: 1, Sequence: 1000, Kind: savorystep.FactCrash, Subject: 2}},
		AckID: 1,
	}})
	p.receive(func(f frame) bool { return f.Ack != nil })
	if facts := e.Facts(savorystep.FactCrash); len(facts) != 1 || facts[0].Sequence >= 1000 {
		t.Errorf("own facts are %+v, want the published one", facts)
	}
}

// TestRefutesSuspicion guards against a running instance that remains
// suspected: it must answer a suspicion, and a hello frame with a suspected
// sequence, with a newer status.
func TestRefutesSuspicion(t *testing.T) {
	e, url := startExchange(t, Config{Self: savorystep.Instance{ID: "self"}})
	p := dialRaw(t, url)
	secret := sha256.Sum256([]byte("secret"))
	p.send(frame{Hello: &helloFrame{Version: protocolVersion, Instance: savorystep.Instance{ID: "raw"}, SecretHash: secret[:], SuspectedSequence: 50}})
	receiveNewer := func(sequence uint64) {
		t.Helper()
		p.receive(func(f frame) bool {
			if f.Facts == nil {
				return false
			}
			for _, fact := range f.Facts.Facts {
				if fact.Kind == savorystep.FactStatus && fact.Instance == 0 && fact.Sequence > sequence {
					return true
				}
			}
			return false
		})
	}
	receiveNewer(50)
	p.send(frame{Facts: &factsFrame{
		Names: []string{"self"},
		Facts: []wireFact{{Sequence: 1, Kind: factSuspicion, Subject: 1, Body: suspicionBody(e.statusSequence())}},
	}})
	receiveNewer(51)
	if members := e.Members(time.Now()); len(members) == 0 || members[len(members)-1].Instance.ID != "self" {
		t.Errorf("members %v, want this instance included", members)
	}
}

func (e *Exchange) statusSequence() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.store.members[e.config.Self.ID].sequence
}

// TestUnknownNamesLimit guards against callers that fill the memory with
// unknown names.
func TestUnknownNamesLimit(t *testing.T) {
	e := New(Config{Self: savorystep.Instance{ID: "self"}})
	for i := range 10 * maxUnknownNamesPerInstance {
		e.Publish(savorystep.FactUnknown, fmt.Sprint("name-", i), savorystep.UnknownFact{Count: 1})
	}
	e.Publish(savorystep.FactUnknown, strings.Repeat("x", maxNameBytes+1), savorystep.UnknownFact{Count: 1})
	if kept := len(e.Facts(savorystep.FactUnknown)); kept != maxUnknownNamesPerInstance {
		t.Errorf("%d names stored, want %d", kept, maxUnknownNamesPerInstance)
	}
}

// TestPauseCausesNoSuspicion guards against an instance that suspects its peers
// after a pause in which it did not run itself.
func TestPauseCausesNoSuspicion(t *testing.T) {
	e := New(Config{Self: savorystep.Instance{ID: "self"}})
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.config.Clock.Now()
	l := e.newLink(nil, savorystep.Instance{ID: "b"}, true)
	e.links["b"] = l
	e.monitors["b"] = &monitor{contactedAt: now, wasConnected: true}
	e.store.merge(now, savorystep.Fact{Instance: "b", Sequence: 1, Kind: savorystep.FactStatus, Body: statusBody("b", true)}, now)
	const pause = 5 * time.Second
	e.extendTimeouts(pause)
	e.gossip(now.Add(pause))
	if l.isClosed || len(e.store.suspicions) > 0 {
		t.Error("connection is closed or peer suspected after a pause of this instance")
	}
	e.gossip(now.Add(2 * pause))
	if !l.isClosed {
		t.Error("timed-out connection is not closed")
	}
}

// TestIsolatedInstanceSeesOnlyItself guards against an instance that lists
// others as members while it receives no frames.
func TestIsolatedInstanceSeesOnlyItself(t *testing.T) {
	e := New(Config{Self: savorystep.Instance{ID: "self"}})
	now := e.config.Clock.Now()
	e.mu.Lock()
	e.store.merge(now, savorystep.Fact{Instance: "b", Sequence: 1, Kind: savorystep.FactStatus, Body: statusBody("b", true)}, now)
	e.mu.Unlock()
	if members := e.Members(now); len(members) != 2 {
		t.Errorf("%d members at the start, want 2", len(members))
	}
	if members := e.Members(now.Add(10 * time.Second)); len(members) != 1 || members[0].Instance.ID != "self" {
		t.Errorf("isolated instance sees %v, want only itself", members)
	}
}

// TestRegisterLinkLimit guards against more connections than the limit when
// several handshakes run concurrently.
func TestRegisterLinkLimit(t *testing.T) {
	const limit = 3
	e, _ := startExchange(t, Config{Self: savorystep.Instance{ID: "self"}, MaxConnections: limit})
	for i := range limit + 2 {
		l := e.newLink(nil, savorystep.Instance{ID: savorystep.InstanceID(fmt.Sprint("peer-", i))}, i%2 == 0)
		if kept := e.registerLink(l, 0); kept != (i < limit) {
			t.Errorf("connection %d kept: %v, want %v", i, kept, i < limit)
		}
	}
}
