package savorystep

import (
	"context"
	"fmt"
	"time"
)

// A CatalogVersion orders the states of a catalog: by the era of the store, then by
// the store's version within the era. Version 0 precedes the first state. In era 1 it
// is the store's version, so that instances which know no eras agree with others until
// the store is restored.
type CatalogVersion uint64

// storeVersionBits is the number of low bits of a CatalogVersion that hold the version
// within the era. 400 writes a second use them up in 87 years.
const storeVersionBits = 64 - StoreEraBits

// NewCatalogVersion returns the catalog version of a version of the store in an era.
// Era 0, which is not known, counts as era 1.
func NewCatalogVersion(era StoreEra, version uint64) CatalogVersion {
	return CatalogVersion(uint64(max(era, 1)-1)<<storeVersionBits | version&(1<<storeVersionBits-1))
}

// Era returns the era of the store.
func (v CatalogVersion) Era() StoreEra {
	return StoreEra(v>>storeVersionBits) + 1
}

// InEra returns the store's version within the era.
func (v CatalogVersion) InEra() uint64 {
	return uint64(v) & (1<<storeVersionBits - 1)
}

// IsRestored reports whether a catalog at this version is that of a store which has
// come back from a copy since an earlier version. It is false after version 0.
func (v CatalogVersion) IsRestored(since CatalogVersion) bool {
	return since != 0 && v.Era() > since.Era()
}

// IsOfOtherEra reports whether a catalog at this version is of another era than an
// earlier version. The era is an earlier one only if a greater one was stated wrongly.
// It is false after version 0.
func (v CatalogVersion) IsOfOtherEra(since CatalogVersion) bool {
	return since != 0 && v.Era() != since.Era()
}

// String returns the version with its era.
func (v CatalogVersion) String() string {
	return fmt.Sprintf("%d (era %d)", v.InEra(), v.Era())
}

// ErrChangesDropped means that the store no longer has the changes after a version,
// because it has dropped its history or has come back from a copy. A read after
// version 0 returns the whole catalog.
var ErrChangesDropped = NewError(KindNotFound, "store no longer has the changes")

// A Catalog reads the endpoint list and the operators' configuration from the
// platform's store. Errors have kind KindPlatformDown or are ErrChangesDropped.
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
	// Age is for how long the list has been known that these changes lead to. It is zero
	// if that is the time that the read took.
	Age time.Duration `cbor:"-"`
}

// ReadAt returns when the list was read that the changes lead to, if the read began at
// startedAt and ended now.
func (c EndpointChanges) ReadAt(startedAt, now time.Time) time.Time {
	if readAt := now.Add(-c.Age); c.Age > 0 && readAt.Before(startedAt) {
		return readAt
	}
	return startedAt
}

// HasWaited implements the method of OperatorChanges. A read of the endpoint list does
// not wait.
func (c EndpointChanges) HasWaited() bool {
	return false
}

// UpTo returns the version up to which these are the changes.
func (c EndpointChanges) UpTo() CatalogVersion {
	return c.Version
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
	// IsUnchanged is true if the store had no change until the wait ended.
	IsUnchanged bool `cbor:"-"`
	// IsFallback is true if another instance had to be queried because the store
	// failed.
	IsFallback bool `cbor:"-"`
}

// HasWaited reports whether the store held its response back until the wait ended, so
// that it was made no earlier.
func (c OperatorChanges) HasWaited() bool {
	return c.IsUnchanged
}

// UpTo returns the version up to which these are the changes.
func (c OperatorChanges) UpTo() CatalogVersion {
	return c.Version
}
