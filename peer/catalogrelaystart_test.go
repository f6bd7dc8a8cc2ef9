package peer

import (
	"testing"
	"time"
)

// TestNextStartStep guards against an instance that waits for peers in vain: no
// peer is known, it is itself the one that reads the store for the others, or
// the peers take too long.
func TestNextStartStep(t *testing.T) {
	for _, test := range []struct {
		name            string
		elapsed         time.Duration
		peers, position int
		want            startStep
	}{
		{name: "no peer", elapsed: firstPeerTimeout, want: startReadStore},
		{name: "first in reader order", peers: 3, want: startReadStore},
		{name: "follower", peers: 3, position: 1, want: startFetchFromPeer},
		{name: "waiting for first peer", elapsed: firstPeerTimeout - 1, want: startWaitForPeer},
		{name: "peers too slow", elapsed: startPeerTimeout, peers: 3, position: 1, want: startReadStore},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := nextStartStep(test.elapsed, test.peers, test.position); got != test.want {
				t.Errorf("nextStartStep = %d, want %d", got, test.want)
			}
		})
	}
}
