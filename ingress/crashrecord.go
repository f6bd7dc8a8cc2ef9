package ingress

import (
	"time"

	"savorystep"
)

// A crashRecord holds the crashes of endpoints that ran a request.
type crashRecord struct {
	// endpoints are the incarnations that crashed.
	endpoints map[savorystep.EndpointID]bool
	// streak is the number of crashes in a row, see savorystep.CrashFact.
	streak                int
	firstCrash, lastCrash time.Time
	// request describes the request for operators, empty if that is not known.
	request string
	// isPublished is true if this instance has published a crash of the request.
	isPublished bool
}

func newCrashRecord(now time.Time) *crashRecord {
	return &crashRecord{endpoints: make(map[savorystep.EndpointID]bool), firstCrash: now, lastCrash: now}
}

// addCrash adds the crash of an endpoint.
func (r *crashRecord) addCrash(now time.Time, id savorystep.EndpointID) {
	r.endpoints[id] = true
	r.lastCrash = now
}

// isExpired reports whether the crashes no longer count.
func (r *crashRecord) isExpired(now time.Time) bool {
	return now.Sub(r.lastCrash) >= quarantineDuration
}

// exceeds reports whether the crashes quarantine the request: limit of them in a row, or
// twice as many endpoints over a time in which they can't have failed together. The
// second case is a request that its callers send several times at once.
func (r *crashRecord) exceeds(limit int) bool {
	return r.streak >= limit || len(r.endpoints) >= 2*limit && r.lastCrash.Sub(r.firstCrash) >= togetherWindow
}

// endpointIDs returns the endpoints that crashed.
func (r *crashRecord) endpointIDs() []savorystep.EndpointID {
	ids := make([]savorystep.EndpointID, 0, len(r.endpoints))
	for id := range r.endpoints {
		ids = append(ids, id)
	}
	return ids
}
