package peer

import (
	"context"

	"savorystep"
)

// ReaderOf returns the address of the first reader that a relay queries, "" if
// it reads the store itself.
func ReaderOf(r *CatalogRelay) savorystep.Address {
	readers := r.readers()
	if len(readers) == 0 {
		return ""
	}
	return readers[0]
}

// ReaderCount returns the number of readers that a relay queries.
func ReaderCount(r *CatalogRelay) int {
	return len(r.readers())
}

// ResponseSizes returns how many whole entries and reports a relay would send.
func ResponseSizes(r *CatalogRelay, after savorystep.CatalogVersion) (whole, reports int) {
	r.mirror.mu.Lock()
	defer r.mirror.mu.Unlock()
	response := newEndpointsResponse(&r.mirror.endpoints, after)
	return len(response.Changes.Endpoints), len(response.Reports)
}

// ServesFullCatalog reports whether a relay sends its endpoint list and its
// operators' configuration to a starting instance.
func ServesFullCatalog(r *CatalogRelay) (endpoints, operator bool) {
	now := r.config.AgeClock.Now()
	r.mirror.mu.Lock()
	defer r.mirror.mu.Unlock()
	return now.Sub(r.mirror.endpoints.upToDateAt(0, catalogQuery{})) < maxEndpointsAge, now.Sub(r.mirror.operator.upToDateAt(0, catalogQuery{})) < maxOperatorAge
}

// RestartConfig returns the configuration of a relay for a later start.
func RestartConfig(r *CatalogRelay) CatalogRelayConfig {
	config := r.config
	config.FirstStart = false
	return config
}

// CatchUp requests missing statuses from a peer once and returns how many were new.
func CatchUp(ctx context.Context, e *Exchange) (int, error) {
	return e.catchUp(ctx)
}
