package savorystep

import (
	"context"
	"time"
)

// A ReceivedFact is a fact with the time at which this instance received it.
type ReceivedFact struct {
	Fact
	ReceivedAt time.Time
	// Age is how long before that the fact was published, at most a second too long for
	// each instance that forwarded it.
	Age time.Duration
}

// Facts exchanges facts between instances by gossip.
type Facts interface {
	// Facts returns the latest facts of a kind from all instances, including
	// this one.
	Facts(kind FactKind) []ReceivedFact
	// Publish sets a fact of this instance. Peers receive it with the next regular
	// gossip exchange.
	Publish(kind FactKind, subject string, body any)
	// Broadcast sets a fact of this instance and sends it immediately to all
	// connected peers. It waits until they have acknowledged it or ctx is done,
	// and returns how many peers did and did not acknowledge it.
	Broadcast(ctx context.Context, kind FactKind, subject string, body any) (acked, unacked int)
	// Subscribe calls f for each new fact of a kind, in the order of receipt. The
	// function must not block.
	Subscribe(kind FactKind, f func(ReceivedFact))
}
