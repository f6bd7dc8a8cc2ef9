package peer_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/zeebo/xxh3"

	"savorystep"
	"savorystep/peer"
)

// TestRelayLeavesReaderInTime guards against a follower that waits at a reader until
// its picture of the catalog is too old, because the reader has lost the store or does
// not respond any more.
func TestRelayLeavesReaderInTime(t *testing.T) {
	endpoints := func(ctx context.Context, r *peer.CatalogRelay, after savorystep.CatalogVersion) error {
		_, err := r.EndpointChanges(ctx, after, 800*time.Millisecond)
		return err
	}
	operator := func(ctx context.Context, r *peer.CatalogRelay, after savorystep.CatalogVersion) error {
		_, err := r.OperatorChanges(ctx, after, 1500*time.Millisecond)
		return err
	}
	cases := []struct {
		name string
		read func(context.Context, *peer.CatalogRelay, savorystep.CatalogVersion) error
		// isSilent is true if the reader stops responding after its last response.
		isSilent bool
		// limit is the greatest age of the picture when the follower reads the store.
		limit time.Duration
	}{
		{name: "endpoint list", read: endpoints, limit: 1500 * time.Millisecond},
		{name: "endpoint list, silent reader", read: endpoints, isSilent: true, limit: 1700 * time.Millisecond},
		{name: "configuration", read: operator, limit: 2200 * time.Millisecond},
		{name: "configuration, silent reader", read: operator, isSilent: true, limit: 2400 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for lastWord := time.Duration(0); lastWord <= c.limit; lastWord += 50 * time.Millisecond {
				synctest.Test(t, func(t *testing.T) {
					readAt := leaveReader(t, c.read, lastWord, c.isSilent)
					if readAt > max(c.limit, lastWord) {
						t.Errorf("follower with the reader's word at %v read the store at an age of %v, want at most %v", lastWord, readAt, c.limit)
					}
				})
			}
		})
	}
}

// leaveReader lets a follower read from a reader that does not read the store again.
// The follower begins its first long read at lastWord after the reader's read. From
// then on the reader is silent, if isSilent. It returns the age of the reader's picture
// at which the follower reads the store.
func leaveReader(t *testing.T, read func(context.Context, *peer.CatalogRelay, savorystep.CatalogVersion) error, lastWord time.Duration, isSilent bool) time.Duration {
	t.Helper()
	var members []savorystep.Member
	for _, name := range []string{"a", "b"} {
		members = append(members, savorystep.Member{StatusFact: savorystep.StatusFact{Ready: true, Instance: savorystep.Instance{ID: savorystep.InstanceID(name), PeerAddress: savorystep.Address(name)}}})
	}
	if xxh3.HashString("a") > xxh3.HashString("b") {
		members[0], members[1] = members[1], members[0]
	}
	handlers := make(handlersByHost)
	newRelay := func(member savorystep.Member, catalog savorystep.Catalog) *peer.CatalogRelay {
		return peer.NewCatalogRelay(peer.CatalogRelayConfig{
			Catalog: catalog, Client: &http.Client{Transport: handlers}, Clock: savorystep.SystemClock{}, Members: &fakeMembers{self: member.Instance, members: members}, Secret: "a shared secret",
		})
	}
	catalogs := make([]*fakeCatalog, len(members))
	for i := range catalogs {
		catalogs[i] = &fakeCatalog{
			endpoints: savorystep.EndpointChanges{Version: 5},
			operator:  savorystep.OperatorChanges{Version: 5, Routing: savorystep.NewRouting(1, nil, nil, savorystep.ClientLimits{})},
		}
	}
	reader, follower := newRelay(members[0], catalogs[0]), newRelay(members[1], catalogs[1])
	handlers[string(members[0].Instance.ID)] = reader.Handler()
	for _, relay := range []*peer.CatalogRelay{follower, reader} {
		if err := read(t.Context(), relay, 0); err != nil {
			t.Fatal(err)
		}
	}
	readAt := time.Now()
	catalogs[1].update(func(f *fakeCatalog) { f.reads = 0 })
	time.Sleep(lastWord)
	// The reader has a version that the follower lacks, and responds at once.
	_ = read(t.Context(), follower, 4)
	if isSilent {
		handlers[string(members[0].Instance.ID)] = http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
			<-request.Context().Done()
			w.WriteHeader(http.StatusInternalServerError)
		})
	}
	for catalogs[1].reads == 0 {
		if err := read(t.Context(), follower, 5); err != nil {
			t.Fatal(err)
		}
	}
	return time.Since(readAt)
}
