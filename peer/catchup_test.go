package peer_test

import (
	"slices"
	"testing"
	"time"

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

// TestCatchUpRevision guards against a starting instance that gets the statuses of
// its peers from before a change and takes their revision for the one in force. It
// would become ready without the change while the platform is down.
func TestCatchUpRevision(t *testing.T) {
	f := newFleet(t, 3, nil)
	f.waitForFullMembership(t)
	f.nodes[2].Publish(savorystep.FactRevision, "", savorystep.RevisionFact{Revision: 7})
	eventually(t, "revision known to the seed", func() bool {
		return slices.ContainsFunc(f.nodes[0].Members(time.Now()), func(m savorystep.Member) bool { return m.Revision == 7 })
	})
	starting := peer.New(peer.Config{
		Self:   savorystep.Instance{ID: "starting", PeerAddress: "127.0.0.1:1", State: savorystep.StateLive},
		Secret: "secret", Dial: f.network.dialer("127.0.0.1:1"), Seeds: []savorystep.Address{f.nodes[0].Self().PeerAddress},
	})
	if got, err := peer.CatchUp(t.Context(), starting); got != 3 || err != nil {
		t.Errorf("%d new statuses, error %v, want 3", got, err)
	}
	var revision savorystep.Revision
	for _, m := range starting.Members(time.Now()) {
		revision = max(revision, m.Revision)
	}
	if revision != 7 {
		t.Errorf("greatest revision of the peers is %d, want 7", revision)
	}
}
