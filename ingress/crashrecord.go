package ingress

import (
	"math/rand/v2"
	"slices"
	"time"

	"savorystep"
)

// maxNamedEndpoints is the number of crashed endpoints that are named to operators and
// saved.
const maxNamedEndpoints = 3

// A crashRecord holds the crashes of endpoints that ran a request.
type crashRecord struct {
	// endpoints are the incarnations that crashed, in the order in which they were
	// reported.
	endpoints []savorystep.EndpointID
	// streak is the number of crashes in a row, see savorystep.CrashFact.
	streak                int
	firstCrash, lastCrash time.Time
	// wasAnswered is true if an endpoint answered the request before the crashes, so
	// that other requests may have caused them.
	wasAnswered bool
	// probes is the number of probes by this instance, probedAt when any instance that
	// is known to have sent one did so last.
	probes   int
	probedAt time.Time
	// probeDelay is the time from a crash or a probe to the next probe by this instance.
	probeDelay time.Duration
	// request describes the request for operators, empty if that is not known.
	request string
	// isPublished is true if this instance has published a crash of the request.
	isPublished bool
}

func newCrashRecord(now time.Time) *crashRecord {
	return &crashRecord{firstCrash: now, lastCrash: now, probeDelay: probeInterval + rand.N(maxProbeJitter)}
}

// addCrash adds the crash of an endpoint, unless it is known.
func (r *crashRecord) addCrash(now time.Time, id savorystep.EndpointID) {
	if slices.Contains(r.endpoints, id) {
		return
	}
	r.endpoints = append(r.endpoints, id)
	r.lastCrash = now
}

// isExpired reports whether the crashes no longer count.
func (r *crashRecord) isExpired(now time.Time) bool {
	return now.Sub(r.lastCrash) >= quarantineDuration
}

// isQuarantined reports whether the crashes quarantine the request: several of them in a
// row, or twice as many endpoints over a time in which they can't have failed together.
// The second case is a request that its callers send several times at once.
func (r *crashRecord) isQuarantined() bool {
	return r.streak >= quarantineStreak || len(r.endpoints) >= 2*quarantineStreak && r.lastCrash.Sub(r.firstCrash) >= togetherWindow
}

// mayProbe reports whether the request may be sent once although it is quarantined,
// because its endpoints may have failed without its doing.
func (r *crashRecord) mayProbe(now time.Time) bool {
	return r.wasAnswered && r.streak < maxProbedStreak && len(r.endpoints) < 2*maxProbedStreak &&
		now.Sub(r.lastCrash) >= r.probeDelay && now.Sub(r.probedAt) >= r.probeDelay
}

// lastEndpoints returns the endpoints that crashed last.
func (r *crashRecord) lastEndpoints() []savorystep.EndpointID {
	return slices.Clone(r.endpoints[max(0, len(r.endpoints)-maxNamedEndpoints):])
}

// toFact returns the record as it is published.
func (r *crashRecord) toFact() savorystep.CrashFact {
	return savorystep.CrashFact{Endpoints: slices.Clone(r.endpoints), Streak: r.streak, Request: r.request, WasAnswered: r.wasAnswered, Probes: r.probes}
}
