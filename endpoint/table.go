package endpoint

import (
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"savorystep"
)

// A Table holds the endpoints of all services with what was measured of them, and
// chooses endpoints for requests. It is not safe for concurrent use.
type Table struct {
	config         Config
	byID           map[savorystep.EndpointID]*endpointState
	byService      map[savorystep.Service][]*endpointState
	evacuatedZones map[savorystep.Zone]bool
	specs          map[savorystep.Service]savorystep.ServiceSpec
	retryBudgets   map[savorystep.Service]*retryBudget
	latencies      map[savorystep.Service]*latencyEstimate
	// spilloverCredits holds the numbers of requests of each service that may spill
	// over, see limitSpillover.
	spilloverCredits map[savorystep.Service]float64
	overflows        map[savorystep.Service]*regionOverflow
	// removedAt maps the service and region of removed endpoints to the time of the last
	// removal.
	removedAt map[serviceRegion]time.Time
	// instanceSeenAt maps the instances that count, this one included, to the times
	// at which they were last seen.
	instanceSeenAt map[savorystep.InstanceID]time.Time
	// instancesVersion counts the changes of the set of instances. It starts at 1.
	instancesVersion int
	tombstones       map[savorystep.EndpointID]*tombstone
	leavings         map[savorystep.EndpointID]leaving
	endings          map[savorystep.EndpointID]*ending
	silences         map[savorystep.EndpointID]*silence
	// isListFailing is true while the endpoint list can't be read.
	isListFailing bool
	// listBackAt is when the list could be read again after it last could not.
	listBackAt time.Time
	// lastListRead is when the last successful read of the endpoint list began.
	lastListRead time.Time
	// startedAt is when the first endpoint was put. It counts as the start of this
	// instance.
	startedAt  time.Time
	standstill standstill
	// lastNumber is the number of the last choice.
	lastNumber uint64
	// restarts are those that were not taken yet.
	restarts      []Restart
	restartTotals RestartTotals
}

// NewTable returns a table without endpoints.
func NewTable(config Config) *Table {
	return &Table{
		config:           config,
		instancesVersion: 1,
		byID:             make(map[savorystep.EndpointID]*endpointState),
		byService:        make(map[savorystep.Service][]*endpointState),
		evacuatedZones:   make(map[savorystep.Zone]bool),
		retryBudgets:     make(map[savorystep.Service]*retryBudget),
		latencies:        make(map[savorystep.Service]*latencyEstimate),
		spilloverCredits: make(map[savorystep.Service]float64),
		overflows:        make(map[savorystep.Service]*regionOverflow),
		removedAt:        make(map[serviceRegion]time.Time),
		instanceSeenAt:   make(map[savorystep.InstanceID]time.Time),
		tombstones:       make(map[savorystep.EndpointID]*tombstone),
		leavings:         make(map[savorystep.EndpointID]leaving),
		endings:          make(map[savorystep.EndpointID]*ending),
		silences:         make(map[savorystep.EndpointID]*silence),
	}
}

// SetConfig replaces the configuration. Existing retry budgets keep their window.
func (t *Table) SetConfig(config Config) {
	t.config = config
}

// SetSpecs replaces the specifications of the services.
func (t *Table) SetSpecs(specs map[savorystep.Service]savorystep.ServiceSpec) {
	t.specs = specs
}

// Put adds or updates an endpoint. It returns false if it did neither, because the
// entry is not newer than the known one or may be a delayed report. If an older
// report has overwritten the known entry, the endpoint is removed; an older report in
// a restored store is that of the copy and changes nothing.
func (t *Table) Put(now time.Time, entry savorystep.Endpoint) bool {
	if known := t.byID[entry.ID]; known != nil {
		if isDone, isUpdated := t.update(now, known, entry); isDone {
			return isUpdated
		}
		t.Remove(now, entry.ID)
	}
	if t.startedAt.IsZero() {
		t.startedAt = now
	}
	limiter, hold, tomb := t.rateLimiterOf(entry), t.holdOffOf(entry), t.tombstones[entry.ID]
	if t.isStale(now, entry) {
		return false
	}
	if tomb != nil && tomb.startedAtMillis != entry.StartedAtMillis {
		t.recordRestart(now, entry, tomb.startedAtMillis, tomb.suspectSince, &tomb.recent)
	}
	var recent recentRequests
	if tomb != nil {
		recent = tomb.recent
	}
	s := &endpointState{Endpoint: entry, idHash: xxh3.HashString(string(entry.ID)), warmAt: now.Add(entry.ColdRemaining), cached: make(cachedObjects), rateLimiter: limiter, holdOff: hold, recent: recent, addedAfter: t.lastNumber}
	t.updateLeaving(now, s)
	t.updateEnding(s)
	t.byID[entry.ID] = s
	t.byService[entry.Service] = append(t.byService[entry.Service], s)
	return true
}

// update updates a known endpoint if an entry is newer, and reports whether it did. It
// returns false, false if the entry is that of another service, which is to be added anew.
func (t *Table) update(now time.Time, known *endpointState, entry savorystep.Endpoint) (isDone, isUpdated bool) {
	switch {
	case entry.WrittenVersion != 0 && entry.WrittenVersion <= known.WrittenVersion:
		return true, false
	case !known.isNewerReport(entry):
		t.putOldReport(now, known, entry)
		return true, false
	case known.Service != entry.Service:
		return false, false
	}
	if entry.StartedAtMillis != known.StartedAtMillis {
		t.recordRestart(now, entry, known.StartedAtMillis, t.suspicionStart(now, known), &known.recent)
	}
	known.update(now, entry)
	t.updateLeaving(now, known)
	t.updateEnding(known)
	return true, true
}

// putOldReport handles an entry with a report that is not newer than that of the known
// entry. In a restored store it is the entry of the copy and changes nothing.
// Otherwise the entry was written later, but by an older report: it may have been
// removed in the meantime and added again by that report.
func (t *Table) putOldReport(now time.Time, known *endpointState, entry savorystep.Endpoint) {
	if known.WrittenVersion == 0 || entry.WrittenVersion.IsRestored(known.WrittenVersion) {
		return
	}
	t.Remove(now, entry.ID)
	t.tombstones[entry.ID].recordRewrite(entry)
}

// ForgetVersions forgets at which versions entries were written, because the catalog
// has gone back to an earlier version.
func (t *Table) ForgetVersions() {
	for _, s := range t.byID {
		s.WrittenVersion = 0
	}
}

// RemoveExpired removes an endpoint whose entry the store did not list again in time
// after an outage. A single newer report shows that it is live.
func (t *Table) RemoveExpired(now time.Time, id savorystep.EndpointID) {
	if t.Remove(now, id) {
		t.tombstones[id].needsOneReport = true
	}
}

// Remove removes an endpoint and keeps a tombstone of it. It returns false if the
// endpoint is unknown.
func (t *Table) Remove(now time.Time, id savorystep.EndpointID) bool {
	s := t.byID[id]
	if s == nil {
		if tomb := t.tombstones[id]; tomb != nil {
			tomb.pendingSince = time.Time{}
		}
		return false
	}
	delete(t.byID, id)
	t.removedAt[serviceRegion{s.Service, s.Place.Region}] = now
	t.evictTombstones(now)
	t.tombstones[id] = &tombstone{startedAtMillis: s.StartedAtMillis, reportSequence: s.ReportSequence, removedAt: now, rateLimiter: s.rateLimiter, holdOff: s.holdOff, recent: s.recent, suspectSince: t.suspicionStart(now, s)}
	t.byService[s.Service] = slices.DeleteFunc(t.byService[s.Service], func(other *endpointState) bool { return other == s })
	return true
}

// SetExpiry sets the time from which an endpoint gets no more requests. The zero
// time removes the expiry.
func (t *Table) SetExpiry(id savorystep.EndpointID, at time.Time) {
	if s := t.byID[id]; s != nil {
		s.expiresAt = at
	}
}

// IDs returns the ids of all endpoints and of those that are pending, in no order.
func (t *Table) IDs() []savorystep.EndpointID {
	ids := make([]savorystep.EndpointID, 0, len(t.byID))
	for id := range t.byID {
		ids = append(ids, id)
	}
	for id, tomb := range t.tombstones {
		if !tomb.pendingSince.IsZero() {
			ids = append(ids, id)
		}
	}
	return ids
}

// Evacuate stops requests to the endpoints of a zone.
func (t *Table) Evacuate(zone savorystep.Zone) {
	t.evacuatedZones[zone] = true
}

// EndEvacuation allows requests to the endpoints of an evacuated zone again. They
// may have become cold in the meantime, so they count as cold until their second
// report.
func (t *Table) EndEvacuation(now time.Time, zone savorystep.Zone) {
	if !t.evacuatedZones[zone] {
		return
	}
	delete(t.evacuatedZones, zone)
	for _, s := range t.byID {
		if s.Place.Zone == zone {
			s.suspectCold(now)
		}
	}
}

// EvacuatedZones returns the evacuated zones, in no order.
func (t *Table) EvacuatedZones() []savorystep.Zone {
	zones := make([]savorystep.Zone, 0, len(t.evacuatedZones))
	for zone := range t.evacuatedZones {
		zones = append(zones, zone)
	}
	return zones
}

// Finish records the outcome of an attempt, which is no longer in flight. The load
// is nil if the endpoint reported none. Only attempts at warm endpoints that found
// a free slot count for the latency estimate.
func (t *Table) Finish(now time.Time, choice Choice, outcome Outcome, load *Load) {
	if choice.overflow != nil && outcome.isNotRun() {
		choice.overflow.remove(now, choice.startedAt)
	}
	s := t.byID[choice.Endpoint.ID]
	if s == nil {
		return
	}
	wasInFlight := s.inFlight
	if choice.number > s.addedAfter {
		s.inFlight = max(0, s.inFlight-1)
	}
	if outcome == OutcomeConnectFailed || outcome == OutcomeConnectReset || outcome == OutcomeWithdrawn {
		s.recent.remove(choice.number)
	}
	if s.StartedAtMillis != choice.Endpoint.StartedAtMillis {
		// The response of an earlier incarnation says nothing about this one.
		return
	}
	if load != nil {
		s.foreignLoad.record(now, *load, wasInFlight)
	}
	s.holdOff.finish(choice.startedAt, outcome, int(maxLoadPerSlot*float64(s.Slots)))
	s.recordOutcome(now, outcome)
	took := now.Sub(choice.startedAt)
	switch outcome {
	case OutcomeAnswered:
		if choice.Load < float64(s.Slots) && !t.isCold(now, s) {
			t.latency(s.Service).record(choice.cached, took)
		}
		s.cached.add(now, choice.affinityKey)
		t.recordAnswer(now, s, choice.startedAt)
		s.answeredAt = now
		s.slowness.record(now, took, choice.ExpectedLatency)
	case OutcomeTimedOut:
		s.slowness.record(now, took, choice.ExpectedLatency)
	default:
	}
}

// CountEndpoints returns the number of endpoints of a service and of those among
// them that can get requests now.
func (t *Table) CountEndpoints(now time.Time, service savorystep.Service) (all, usable int) {
	for _, s := range t.byService[service] {
		all++
		if t.checkEligibility(now, s, &Query{}) == ExclusionNone && t.checkReadiness(now, s) == ExclusionNone {
			usable++
		}
	}
	return all, usable
}

// latency returns the latency estimate of a service.
func (t *Table) latency(service savorystep.Service) *latencyEstimate {
	l := t.latencies[service]
	if l == nil {
		l = newLatencyEstimate()
		t.latencies[service] = l
	}
	return l
}
