package savorystep

import (
	"context"
	"time"
)

// A CatalogVersion orders the states of a catalog. Zero is before the first.
type CatalogVersion uint64

// A Catalog is what operators and endpoints wrote into the platform's store.
// Errors have kind KindPlatformDown.
type Catalog interface {
	// EndpointChanges returns the changes of the endpoint list after a version. It
	// may wait up to the given time for one.
	EndpointChanges(ctx context.Context, after CatalogVersion, wait time.Duration) (EndpointChanges, error)
	// OperatorChanges returns the changes of the operators' orders after a version. It
	// waits up to the given time for one.
	OperatorChanges(ctx context.Context, after CatalogVersion, wait time.Duration) (OperatorChanges, error)
}

// EndpointChanges are changes of the endpoint list.
type EndpointChanges struct {
	Version CatalogVersion
	// Full is true if Listed is the whole list.
	Full      bool
	Endpoints []Endpoint `cbor:"Listed"`
	Removed   []EndpointID
}

// OperatorChanges are changes of the operators' orders.
type OperatorChanges struct {
	Version CatalogVersion
	// Full is true if Evacuated lists all zones under evacuation.
	Full bool
	// Routing is nil if no new valid one was read.
	Routing *Routing
	// EvacuatedZones zones are to get no requests, RestoredZones ones may again.
	EvacuatedZones []Zone `cbor:"Evacuated"`
	RestoredZones  []Zone `cbor:"Returned"`
}
