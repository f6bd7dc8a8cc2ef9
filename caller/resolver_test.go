package caller_test

import (
	"net/netip"
	"testing"
	"time"

	"savorystep"
	"savorystep/caller"
)

// TestLookupWithoutEntries guards against a lookup response without entries, which callers
// would cache for the TTL of lookup responses. There may be no ready entry while an
// instance starts, until it has received its own status fact.
func TestLookupWithoutEntries(t *testing.T) {
	config := &fakeConfig{}
	config.set(1, savorystep.Record{Service: "status"})
	resolver := caller.NewResolver(caller.ResolverConfig{
		Config:    config,
		Endpoints: &fakeEndpoints{loads: []savorystep.RegionLoad{{Region: "natal", Slots: 1}}},
		Members:   &fakeMembers{},
		Steer:     steerHome,
	})
	origin := resolver.Origin("natal", netip.Addr{})
	_, _, err := resolver.Lookup("status", origin, time.Unix(100, 0))
	if savorystep.KindOf(err) != savorystep.KindNotReady {
		t.Errorf("error = %v, want NotReady", err)
	}
}
