package peer

import (
	"testing"
	"time"
)

// TestNextStart guards against an instance that waits for peers that can't help
// it: it is alone, it is the one that reads for the others, or they are too slow.
func TestNextStart(t *testing.T) {
	for _, test := range []struct {
		name       string
		since      time.Duration
		peers, own int
		want       startStep
	}{
		{name: "alone", since: aloneWait, want: startStore},
		{name: "first of the order", peers: 3, want: startStore},
		{name: "follower", peers: 3, own: 1, want: startAsk},
		{name: "no word yet", since: aloneWait - 1, want: startHold},
		{name: "peers too slow", since: startWait, peers: 3, own: 1, want: startStore},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := nextStart(test.since, test.peers, test.own); got != test.want {
				t.Errorf("step %d, want %d", got, test.want)
			}
		})
	}
}
