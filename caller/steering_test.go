package caller_test

import (
	"net/netip"
	"testing"
	"time"

	"savorystep"
	"savorystep/caller"
)

// TestLookupWithoutEntries guards against an empty answer, which callers would
// cache for the lifetime of lookups: at the start, an instance may answer
// lookups before its own status is known to itself.
func TestLookupWithoutEntries(t *testing.T) {
	config := &fakeConfig{}
	config.set(1, savorystep.Record{Service: "status"})
	steering := caller.NewResolver(caller.ResolverConfig{
		Config:    config,
		Endpoints: &fakeEndpoints{loads: []savorystep.RegionLoad{{Region: "natal", Slots: 1}}},
		Members:   &fakeMembers{},
		Steer:     steerHome,
	})
	origin := steering.Origin("natal", netip.Addr{})
	_, _, err := steering.Lookup("status", origin, time.Unix(100, 0))
	if savorystep.KindOf(err) != savorystep.KindNotReady {
		t.Errorf("error = %v, want NotReady", err)
	}
}
