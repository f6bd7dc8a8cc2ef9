package savorystep

import (
	"context"
	"time"
)

// A CatalogVersion numbers the states of a catalog in ascending order. Version 0
// precedes the first state.
type CatalogVersion uint64

// A Catalog reads the endpoint list and the operators' configuration from the
// platform's store. Errors have kind KindPlatformDown.
type Catalog interface {
	// EndpointChanges returns the changes of the endpoint list after a version.
	// An implementation may wait up to the given time if there is no change.
	EndpointChanges(ctx context.Context, after CatalogVersion, wait time.Duration) (EndpointChanges, error)
	// OperatorChanges returns the changes of the operators' configuration after a
	// version. It waits up to the given time if there is no change.
	OperatorChanges(ctx context.Context, after CatalogVersion, wait time.Duration) (OperatorChanges, error)
}

// EndpointChanges are the changes of the endpoint list up to a version. Fields
// are encoded under their Go names unless a tag says otherwise.
type EndpointChanges struct {
	Version CatalogVersion
	// Full is true if Endpoints is the complete list instead of the changes.
	Full bool
	// Endpoints are the added and updated endpoints.
	Endpoints []Endpoint `cbor:"Listed"`
	Removed   []EndpointID
}

// OperatorChanges are the changes of the operators' configuration up to a
// version. Fields are encoded under their Go names unless a tag says otherwise.
type OperatorChanges struct {
	Version CatalogVersion
	// Full is true if EvacuatedZones lists all evacuated zones instead of the
	// changes.
	Full bool
	// Routing is the new routing, nil if there is no new one or it is invalid.
	Routing *Routing
	// EvacuatedZones must not receive requests.
	EvacuatedZones []Zone `cbor:"Evacuated"`
	// RestoredZones were evacuated and may receive requests again.
	RestoredZones []Zone `cbor:"Returned"`
}
