package peer

import (
	"cmp"
	"slices"
	"sync"

	"github.com/zeebo/xxh3"

	"savorystep"
)

// A fallbackOrder determines which peers an instance queries when neither its readers
// nor the store respond. It is safe for concurrent use.
type fallbackOrder struct {
	mu sync.Mutex
	// lastPeer is the peer that responded to the last search, "" if none did.
	lastPeer savorystep.Address
	// failures is the number of failed searches. Each search after one queries
	// other peers.
	failures int
	// consecutiveFailures is the number of failed searches since one succeeded.
	consecutiveFailures int
}

func (o *fallbackOrder) recordSuccess(peer savorystep.Address) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lastPeer, o.consecutiveFailures = peer, 0
}

func (o *fallbackOrder) recordFailure() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lastPeer = ""
	o.failures++
	o.consecutiveFailures++
}

// next returns the peer that responded last, and the number of the next search and of
// the peers that it queries: fewer after two failures in a row, since it is likely that
// the store serves nobody.
func (o *fallbackOrder) next() (lastPeer savorystep.Address, search, peers int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	peers = maxFallbackPeers
	if o.consecutiveFailures >= 2 {
		peers /= 2
	}
	return o.lastPeer, o.failures, peers
}

// fallbackPeers returns the peers that a search queries: the one that responded last,
// the next reader, peers of the region, and peers of other regions. Each instance has
// its own order of them, so that they share the queries.
func (r *CatalogRelay) fallbackPeers() []savorystep.Address {
	self := r.config.Members.Self()
	members := slices.Clone(r.config.Members.Members(r.config.Clock.Now()))
	members = slices.DeleteFunc(members, func(m savorystep.Member) bool {
		return m.Instance.ID == self.ID || !m.Ready || m.Leaving
	})
	rank := func(m savorystep.Member) uint64 {
		return xxh3.HashString(string(self.ID) + " " + string(m.Instance.ID))
	}
	slices.SortFunc(members, func(a, b savorystep.Member) int { return cmp.Compare(rank(a), rank(b)) })
	var own, others []savorystep.Address
	for _, m := range members {
		if m.Instance.Place.Region == self.Place.Region {
			own = append(own, m.Instance.PeerAddress)
		} else {
			others = append(others, m.Instance.PeerAddress)
		}
	}
	lastPeer, search, count := r.fallbackOrder.next()
	var peers []savorystep.Address
	add := func(peer savorystep.Address) {
		if !slices.Contains(peers, peer) {
			peers = append(peers, peer)
		}
	}
	if slices.Contains(own, lastPeer) || slices.Contains(others, lastPeer) {
		add(lastPeer)
	}
	if next := r.nextReader(); next != "" {
		add(next)
	}
	fromOwn := count / 2
	if len(others) == 0 {
		fromOwn = count
	}
	for i := range min(fromOwn, len(own)) {
		add(own[(search*fromOwn+i)%len(own)])
	}
	for i := range min(count-fromOwn, len(others)) {
		add(others[(search*(count-fromOwn)+i)%len(others)])
	}
	return peers
}
