package peer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"savorystep"
	"savorystep/peer"
)

// A fakeRegistry lists one endpoint, or fails if it is down.
type fakeRegistry struct {
	savorystep.Registry
	isDown bool
}

func (r *fakeRegistry) Endpoints(context.Context) ([]savorystep.Endpoint, error) {
	if r.isDown {
		return nil, savorystep.NewError(savorystep.KindPlatformDown, "registry is down")
	}
	return []savorystep.Endpoint{{ID: "status-01", Service: "status", State: savorystep.StateLive, Slots: 3}}, nil
}

// noMembers is a membership without other instances.
type noMembers struct{}

func (noMembers) Members(time.Time) []savorystep.Member { return nil }

func (noMembers) Self() savorystep.Instance { return savorystep.Instance{ID: "self"} }

// newCache returns a cache and the address at which it is served.
func newCache(t *testing.T, registry savorystep.Registry, secret string, seeds ...savorystep.Address) (*peer.EndpointListCache, savorystep.Address) {
	t.Helper()
	cache := peer.NewEndpointListCache(peer.EndpointListCacheConfig{Members: noMembers{}, Registry: registry, Secret: secret, Seeds: seeds})
	server := httptest.NewServer(cache)
	t.Cleanup(server.Close)
	return cache, savorystep.Address(strings.TrimPrefix(server.URL, "http://"))
}

// TestEndpointListFromPeer guards against an instance that starts while the
// platform is down, has no endpoint list, and rejects all requests.
func TestEndpointListFromPeer(t *testing.T) {
	registry := &fakeRegistry{}
	first, address := newCache(t, registry, "secret")
	if _, err := first.Endpoints(t.Context()); err != nil {
		t.Fatal(err)
	}
	registry.isDown = true
	second, _ := newCache(t, registry, "secret", "127.0.0.1:1", address)
	if second.HasList() {
		t.Error("HasList = true before a list was read")
	}
	list, err := second.Endpoints(t.Context())
	if err != nil || len(list) != 1 || list[0].ID != "status-01" || !second.HasList() {
		t.Errorf("Endpoints = %v, %v", list, err)
	}
}

// TestEndpointListNeedsSecret guards against an endpoint list that can be read
// without the shared secret.
func TestEndpointListNeedsSecret(t *testing.T) {
	registry := &fakeRegistry{}
	first, address := newCache(t, registry, "secret")
	if _, err := first.Endpoints(t.Context()); err != nil {
		t.Fatal(err)
	}
	registry.isDown = true
	unauthorized, _ := newCache(t, registry, "another secret", address)
	if list, err := unauthorized.Endpoints(t.Context()); savorystep.KindOf(err) != savorystep.KindPlatformDown {
		t.Errorf("Endpoints = %v, %v", list, err)
	}
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+string(address), http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusUnauthorized {
		t.Errorf("status = %d, want %d", response.StatusCode, http.StatusUnauthorized)
	}
}
