package peer_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"savorystep"
	"savorystep/peer"
)

// handlersByHost delivers requests to handlers without a network.
type handlersByHost map[string]http.Handler

func (h handlersByHost) RoundTrip(request *http.Request) (*http.Response, error) {
	recorder := httptest.NewRecorder()
	h[request.URL.Host].ServeHTTP(recorder, request)
	return recorder.Result(), nil
}

// TestRelayStartTakesNewestCatalog guards against an instance that starts while the
// store is away and takes an older configuration from one peer although another has
// a newer one.
func TestRelayStartTakesNewestCatalog(t *testing.T) {
	handlers := make(handlersByHost)
	var members []savorystep.Member
	newRelay := func(name string, revision savorystep.Revision, err error) *peer.CatalogRelay {
		self := savorystep.Instance{ID: savorystep.InstanceID(name), PeerAddress: savorystep.Address(name)}
		members = append(members, savorystep.Member{StatusFact: savorystep.StatusFact{Instance: self, Ready: err == nil, Revision: revision}})
		catalog := &fakeCatalog{err: err, operator: savorystep.OperatorChanges{Version: savorystep.CatalogVersion(revision), Routing: savorystep.NewRouting(revision, nil, nil, savorystep.ClientLimits{})}}
		relay := peer.NewCatalogRelay(peer.CatalogRelayConfig{
			Catalog: catalog, Client: &http.Client{Transport: handlers}, Clock: savorystep.SystemClock{}, Members: &fakeMembers{self: self, members: members}, Secret: "a shared secret",
		})
		handlers[name] = relay.Handler()
		return relay
	}
	for i, revision := range []savorystep.Revision{3, 9, 5} {
		relay := newRelay(string(rune('a'+i)), revision, nil)
		if _, err := relay.OperatorChanges(t.Context(), 0, 0); err != nil {
			t.Fatal(err)
		}
	}
	started := newRelay("started", 0, savorystep.NewError(savorystep.KindPlatformDown, "away"))
	changes, err := started.OperatorChanges(t.Context(), 0, 0)
	if err != nil || changes.Routing == nil || changes.Routing.Revision != 9 {
		t.Errorf("started with %+v, %v, want revision 9, the newest of the peers", changes, err)
	}
}
