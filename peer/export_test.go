package peer

import "savorystep"

// ReaderOf returns the address that a relay asks, empty if it reads itself.
func ReaderOf(r *CatalogRelay) savorystep.Address {
	readers := r.readers()
	if len(readers) == 0 {
		return ""
	}
	return readers[0]
}

// ReaderRank returns how many readers a relay asks.
func ReaderRank(r *CatalogRelay) int {
	return len(r.readers())
}

// ListAnswer returns how many whole entries and reports a relay would tell.
func ListAnswer(r *CatalogRelay, after savorystep.CatalogVersion) (whole, reports int) {
	r.mirror.mu.Lock()
	defer r.mirror.mu.Unlock()
	answer := newListAnswer(&r.mirror.list, after)
	return len(answer.Changes.Endpoints), len(answer.Reports)
}

// TellsStart reports whether a relay tells its list and its orders to an
// instance that starts.
func TellsStart(r *CatalogRelay) (list, orders bool) {
	now := r.config.Clock.Now()
	r.mirror.mu.Lock()
	defer r.mirror.mu.Unlock()
	return now.Sub(r.mirror.list.since(0)) < listFresh, now.Sub(r.mirror.orders.since(0)) < ordersFresh
}

// Restarted returns the configuration of a relay for a later start.
func Restarted(r *CatalogRelay) CatalogRelayConfig {
	config := r.config
	config.FirstStart = false
	return config
}
