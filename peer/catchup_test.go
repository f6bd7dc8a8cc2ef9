package peer_test

import (
	"testing"

	"savorystep"
	"savorystep/peer"
)

// TestCatchUpAtStart guards against instances that remain unknown for long when
// a fleet starts together: the byte budget is too small to gossip all statuses
// to all instances, and the seeds soon have no free connections. The budget of
// this test carries two statuses per second, so that only catching up can
// deliver them in time.
func TestCatchUpAtStart(t *testing.T) {
	const instances, bytesPerSecond = 48, 300
	f := newFleet(t, instances, func(config *peer.Config) { config.BytesPerSecond = bytesPerSecond })
	isComplete := make([]bool, instances)
	took := eventually(t, "all statuses known to all", func() bool {
		allComplete := true
		for i, n := range f.nodes {
			isComplete[i] = isComplete[i] || len(n.Facts(savorystep.FactStatus)) == instances
			allComplete = allComplete && isComplete[i]
		}
		return allComplete
	})
	t.Logf("all statuses known to all after %v", took)
}
