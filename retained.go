package savorystep

import (
	"context"
	"time"
)

// A RetainedState is what an instance keeps in force although the platform's store,
// which has come back from a copy, does not have it. The zero value is nothing.
type RetainedState struct {
	// Remaining is how long it stays in force at most.
	Remaining time.Duration
	// IsSettled is true if the instance retains nothing because the store's state has
	// counted for long enough: what it lacks was not written again.
	IsSettled bool
	// Routing has a greater revision than that of the query, nil if there is none.
	Routing *Routing
	// EvacuatedZones must not receive requests.
	EvacuatedZones []Zone
	// Gone are endpoints that the store may list although they have left.
	Gone []GoneEndpoint
}

// A GoneEndpoint is an endpoint that has left, with its last known report. Fields are
// encoded under their Go names.
type GoneEndpoint struct {
	ID              EndpointID
	StartedAtMillis int64
	ReportSequence  uint64
}

// A RetainedQuery requests what others retain.
type RetainedQuery struct {
	// Era is the era of the store in which it is retained.
	Era StoreEra
	// Revision is the revision that the requesting instance has in force.
	Revision Revision
}

// A RetainedSource is an instance that states what it retains.
type RetainedSource interface {
	// RetainedState returns what the instance retains for an era. What it knows of an
	// earlier era counts, too.
	RetainedState(now time.Time, query RetainedQuery) RetainedState
}

// RetainedStates fetches what other instances retain.
type RetainedStates interface {
	// RetainedStates asks some of the other instances and passes each state to apply.
	// It returns when it has asked enough of them.
	RetainedStates(ctx context.Context, query RetainedQuery, apply func(RetainedState))
}
