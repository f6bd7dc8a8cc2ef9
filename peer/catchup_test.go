package peer_test

import (
	"testing"

	"savorystep"
	"savorystep/peer"
)

// TestCatchUpAtStart guards against instances that stay unknown for long when
// a fleet starts together: the budget of the exchange of facts is too small to
// tell all statuses to all, and connections to the seeds are soon used up. Here
// the budget carries two statuses a second, so that only catching up can tell
// them in time.
func TestCatchUpAtStart(t *testing.T) {
	const instances, bytesPerSecond = 48, 300
	f := newFleet(t, instances, func(config *peer.Config) { config.BytesPerSecond = bytesPerSecond })
	told := make([]bool, instances)
	took := eventually(t, "all statuses known to all", func() bool {
		all := true
		for i, n := range f.nodes {
			told[i] = told[i] || len(n.Facts(savorystep.FactStatus)) == instances
			all = all && told[i]
		}
		return all
	})
	t.Logf("all known to all after %v", took)
}
