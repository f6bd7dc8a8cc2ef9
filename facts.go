package savorystep

import (
	"context"
	"time"
)

// A ReceivedFact is a fact together with the time at which this instance heard
// it.
type ReceivedFact struct {
	Fact
	ReceivedAt time.Time
}

// Facts is the exchange of facts between instances.
type Facts interface {
	// Facts returns the newest facts of a kind from all instances, this one
	// included.
	Facts(kind FactKind) []ReceivedFact
	// Publish states a fact; peers hear it with the regular exchange.
	Publish(kind FactKind, subject string, body any)
	// Broadcast states a fact and sends it at once to all reachable peers. It
	// returns how many peers acknowledged it and how many did not, at the
	// latest when ctx ends.
	Broadcast(ctx context.Context, kind FactKind, subject string, body any) (acked, missing int)
	// Subscribe calls f for each new fact of a kind, in the order heard. f must
	// not block.
	Subscribe(kind FactKind, f func(ReceivedFact))
}
