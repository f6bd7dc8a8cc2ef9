package store_test

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"savorystep"
	"savorystep/store"
)

// A logNetwork connects the configuration logs of several instances, as gossip
// and the exchange of changes do.
type logNetwork struct {
	mu    sync.Mutex
	nodes map[savorystep.InstanceID]*logNode
	// partitioned makes all peers unreachable.
	partitioned bool
	// pageLimit bounds the changes that a peer returns at once.
	pageLimit int
}

// A logNode is one instance of a logNetwork.
type logNode struct {
	network     *logNetwork
	id          savorystep.InstanceID
	log         *store.Log // nil until setLog
	mu          sync.Mutex
	subscribers []func(savorystep.ReceivedFact)
	events      []savorystep.Event
}

func newLogNetwork() *logNetwork {
	return &logNetwork{nodes: make(map[savorystep.InstanceID]*logNode), pageLimit: 1 << 20}
}

func (n *logNetwork) node(id savorystep.InstanceID) *logNode {
	node := &logNode{network: n, id: id}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[id] = node
	return node
}

func (n *logNetwork) remove(id savorystep.InstanceID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.nodes, id)
}

func (n *logNetwork) setPartitioned(partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned = partitioned
}

func (n *logNode) setLog(l *store.Log) {
	n.network.mu.Lock()
	defer n.network.mu.Unlock()
	n.log = l
}

func (n *logNetwork) others(id savorystep.InstanceID) []*logNode {
	n.mu.Lock()
	defer n.mu.Unlock()
	var others []*logNode
	for other, node := range n.nodes {
		if other != id && !n.partitioned && node.log != nil {
			others = append(others, node)
		}
	}
	return others
}

func (n *logNode) Facts(savorystep.FactKind) []savorystep.ReceivedFact { return nil }
func (n *logNode) Publish(savorystep.FactKind, string, any)            {}
func (n *logNode) Events() []savorystep.Event                          { return n.events }
func (n *logNode) Self() savorystep.Instance                           { return savorystep.Instance{ID: n.id} }

func (n *logNode) Subscribe(_ savorystep.FactKind, f func(savorystep.ReceivedFact)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.subscribers = append(n.subscribers, f)
}

func (n *logNode) Record(event savorystep.Event) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.events = append(n.events, event)
}

func (n *logNode) Broadcast(_ context.Context, kind savorystep.FactKind, subject string, body any) (acked, missing int) {
	encoded, err := cbor.Marshal(body)
	if err != nil {
		panic(err)
	}
	fact := savorystep.ReceivedFact{Fact: savorystep.Fact{Instance: n.id, Kind: kind, Subject: subject, Body: encoded}, ReceivedAt: time.Now()}
	others := n.network.others(n.id)
	for _, other := range others {
		other.mu.Lock()
		subscribers := other.subscribers
		other.mu.Unlock()
		for _, f := range subscribers {
			f(fact)
		}
	}
	return len(others), 0
}

func (n *logNode) Members(now time.Time) []savorystep.Member {
	others := n.network.others(n.id)
	members := make([]savorystep.Member, 0, len(others))
	for _, other := range others {
		member := savorystep.Member{LastHeartbeat: now}
		member.Instance = other.Self()
		member.Revision = other.log.View().Revision
		members = append(members, member)
	}
	return members
}

func (n *logNode) ChangesFrom(
	_ context.Context, id savorystep.InstanceID, after savorystep.Revision, limit int,
) ([]savorystep.Change, error) {
	for _, other := range n.network.others(n.id) {
		if other.id == id {
			return other.log.Changes(after, min(limit, n.network.pageLimit)), nil
		}
	}
	return nil, savorystep.NewError(savorystep.KindNotFound, "%s is not reachable", id)
}
