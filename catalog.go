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
	// Endpoints returns the changes of the endpoint list after a version. It
	// may wait up to the given time for one.
	Endpoints(ctx context.Context, after CatalogVersion, wait time.Duration) (EndpointChanges, error)
	// Orders returns the changes of the operators' orders after a version. It
	// waits up to the given time for one.
	Orders(ctx context.Context, after CatalogVersion, wait time.Duration) (OrderChanges, error)
}

// EndpointChanges are changes of the endpoint list.
type EndpointChanges struct {
	Version CatalogVersion
	// Full is true if Listed is the whole list.
	Full    bool
	Listed  []Endpoint
	Removed []EndpointID
}

// OrderChanges are changes of the operators' orders.
type OrderChanges struct {
	Version CatalogVersion
	// Full is true if Evacuated lists all zones under evacuation.
	Full bool
	// Routing is nil if no new valid one was read.
	Routing *Routing
	// Evacuated zones are to get no requests, Returned ones may again.
	Evacuated, Returned []Zone
}
