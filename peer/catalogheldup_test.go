package peer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/zeebo/xxh3"

	"savorystep"
	"savorystep/peer"
)

// A heldUpCatalog is a store without changes whose responses are held up on their way.
type heldUpCatalog struct {
	heldUp time.Duration
	reads  atomic.Int64
	// startedAt is when the last read began, madeAt when its response was made.
	startedAt, madeAt atomic.Pointer[time.Time]
}

func (c *heldUpCatalog) respond(ctx context.Context, wait time.Duration) {
	c.reads.Add(1)
	startedAt := time.Now()
	c.startedAt.Store(&startedAt)
	savorystep.Sleep(ctx, wait)
	madeAt := time.Now()
	c.madeAt.Store(&madeAt)
	savorystep.Sleep(ctx, c.heldUp)
}

func (c *heldUpCatalog) EndpointChanges(ctx context.Context, after savorystep.CatalogVersion, _ time.Duration) (savorystep.EndpointChanges, error) {
	c.respond(ctx, 0)
	return savorystep.EndpointChanges{Version: 5, Full: after == 0}, nil
}

func (c *heldUpCatalog) OperatorChanges(ctx context.Context, after savorystep.CatalogVersion, wait time.Duration) (savorystep.OperatorChanges, error) {
	c.respond(ctx, wait)
	changes := savorystep.OperatorChanges{Version: 5, Full: after == 0, IsUnchanged: after != 0}
	if changes.Full {
		changes.Routing = savorystep.NewRouting(1, nil, nil, savorystep.ClientLimits{})
	}
	return changes, nil
}

// A heldUpTransport delivers requests to a reader.
type heldUpTransport struct {
	handler http.Handler
	// after is called when a response was made.
	after func(context.Context)
	// isSilent is true if requests get no response.
	isSilent atomic.Bool
}

func (h *heldUpTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	if h.isSilent.Load() {
		<-request.Context().Done()
		return nil, request.Context().Err()
	}
	recorder := httptest.NewRecorder()
	h.handler.ServeHTTP(recorder, request)
	h.after(request.Context())
	if err := request.Context().Err(); err != nil {
		return nil, err
	}
	return recorder.Result(), nil
}

// heldUpTimes are how long responses are held up and a follower is suspended.
type heldUpTimes struct {
	byStore, byReader, suspension time.Duration
}

// TestRelayKnowsAgeOfHeldUpResponse guards against a follower that takes a picture of
// the catalog for younger than it is and stays with it too long, because a response was
// held up on its way or the follower was suspended meanwhile.
func TestRelayKnowsAgeOfHeldUpResponse(t *testing.T) {
	endpoints := func(ctx context.Context, r *peer.CatalogRelay, after savorystep.CatalogVersion) error {
		_, err := r.EndpointChanges(ctx, after, 800*time.Millisecond)
		return err
	}
	operator := func(ctx context.Context, r *peer.CatalogRelay, after savorystep.CatalogVersion) error {
		_, err := r.OperatorChanges(ctx, after, 1500*time.Millisecond)
		return err
	}
	sections := []struct {
		name  string
		read  func(context.Context, *peer.CatalogRelay, savorystep.CatalogVersion) error
		limit time.Duration
	}{
		{name: "endpoint list", read: endpoints, limit: 1700 * time.Millisecond},
		{name: "configuration", read: operator, limit: 2400 * time.Millisecond},
	}
	faults := []struct {
		name string
		heldUpTimes
	}{
		{"response of the store", heldUpTimes{byStore: 800 * time.Millisecond}},
		{"response of the reader", heldUpTimes{byReader: 350 * time.Millisecond}},
		{"suspended follower", heldUpTimes{suspension: time.Second}},
	}
	for _, section := range sections {
		for _, fault := range faults {
			t.Run(section.name+", "+fault.name, func(t *testing.T) {
				for lastWord := time.Duration(0); lastWord <= section.limit; lastWord += 50 * time.Millisecond {
					synctest.Test(t, func(t *testing.T) {
						age := leaveHeldUpReader(t, section.read, lastWord, fault.heldUpTimes)
						limit := max(section.limit, lastWord+fault.byStore+fault.byReader+fault.suspension)
						if age > limit {
							t.Errorf("follower with the reader's word at %v read the store when its picture was %v old, want at most %v", lastWord, age, limit)
						}
					})
				}
			})
		}
	}
}

// leaveHeldUpReader lets a follower read from a reader, at lastWord after the reader's
// read of the store. The reader is silent from then on. It returns the age of the picture
// when the follower reads the store.
func leaveHeldUpReader(t *testing.T, read func(context.Context, *peer.CatalogRelay, savorystep.CatalogVersion) error, lastWord time.Duration, times heldUpTimes) time.Duration {
	t.Helper()
	var members []savorystep.Member
	for _, name := range []string{"a", "b"} {
		members = append(members, savorystep.Member{StatusFact: savorystep.StatusFact{Ready: true, Instance: savorystep.Instance{ID: savorystep.InstanceID(name), PeerAddress: savorystep.Address(name)}}})
	}
	if xxh3.HashString("a") > xxh3.HashString("b") {
		members[0], members[1] = members[1], members[0]
	}
	ageClock := &suspendedClock{Clock: savorystep.SystemClock{}}
	transport := &heldUpTransport{after: func(context.Context) {}}
	newRelay := func(member savorystep.Member, catalog savorystep.Catalog, ageClock savorystep.Clock) *peer.CatalogRelay {
		return peer.NewCatalogRelay(peer.CatalogRelayConfig{
			AgeClock: ageClock, Catalog: catalog, Client: &http.Client{Transport: transport}, Clock: savorystep.SystemClock{}, Members: &fakeMembers{self: member.Instance, members: members}, Secret: "a shared secret",
		})
	}
	readerCatalog, followerCatalog := &heldUpCatalog{}, &heldUpCatalog{}
	reader, follower := newRelay(members[0], readerCatalog, nil), newRelay(members[1], followerCatalog, ageClock)
	transport.handler = reader.Handler()
	ctx := t.Context()
	for _, relay := range []*peer.CatalogRelay{follower, reader} {
		if err := read(ctx, relay, 0); err != nil {
			t.Fatal(err)
		}
	}
	readerCatalog.heldUp = times.byStore
	if err := read(ctx, reader, 5); err != nil {
		t.Fatal(err)
	}
	savorystep.Sleep(ctx, lastWord)
	transport.after = func(ctx context.Context) {
		ageClock.suspend(times.suspension)
		savorystep.Sleep(ctx, times.byReader)
		transport.isSilent.Store(true)
	}
	before := followerCatalog.reads.Load()
	started := time.Now()
	for followerCatalog.reads.Load() == before && time.Since(started) < 10*time.Second {
		if err := read(ctx, follower, 4); err != nil {
			t.Fatal(err)
		}
	}
	return followerCatalog.startedAt.Load().Sub(*readerCatalog.madeAt.Load()) + times.suspension
}

// TestFollowerKnowsAgeOfEndpointList guards against a follower that takes the endpoint list
// of a reader for as new as its own read, and endpoints for warm that have restarted since
// the reader's.
func TestFollowerKnowsAgeOfEndpointList(t *testing.T) {
	for lastWord := time.Duration(0); lastWord <= 1200*time.Millisecond; lastWord += 100 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			var members []savorystep.Member
			for _, name := range []string{"a", "b"} {
				members = append(members, savorystep.Member{StatusFact: savorystep.StatusFact{Ready: true, Instance: savorystep.Instance{ID: savorystep.InstanceID(name), PeerAddress: savorystep.Address(name)}}})
			}
			if xxh3.HashString("a") > xxh3.HashString("b") {
				members[0], members[1] = members[1], members[0]
			}
			transport := &heldUpTransport{after: func(context.Context) {}}
			readerCatalog, followerCatalog := &heldUpCatalog{}, &heldUpCatalog{}
			newRelay := func(member savorystep.Member, catalog savorystep.Catalog) *peer.CatalogRelay {
				return peer.NewCatalogRelay(peer.CatalogRelayConfig{
					Catalog: catalog, Client: &http.Client{Transport: transport}, Clock: savorystep.SystemClock{}, Members: &fakeMembers{self: member.Instance, members: members}, Secret: "a shared secret",
				})
			}
			reader, follower := newRelay(members[0], readerCatalog), newRelay(members[1], followerCatalog)
			transport.handler = reader.Handler()
			for _, relay := range []*peer.CatalogRelay{follower, reader} {
				if _, err := relay.EndpointChanges(t.Context(), 0, 0); err != nil {
					t.Fatal(err)
				}
			}
			savorystep.Sleep(t.Context(), lastWord)
			reads, startedAt := followerCatalog.reads.Load(), time.Now()
			changes, err := follower.EndpointChanges(t.Context(), 4, 0)
			if err != nil {
				t.Fatal(err)
			}
			if followerCatalog.reads.Load() != reads {
				t.Fatal("the follower has read the store, want the reader")
			}
			if got, readAt := changes.ReadAt(startedAt, time.Now()), *readerCatalog.startedAt.Load(); got.After(readAt) {
				t.Errorf("follower takes the list for read at %v, %v after the reader has read it", got, got.Sub(readAt))
			}
		})
	}
}
