package peer

import (
	"sync"
	"time"

	"savorystep"
)

// removalRetention is how long a mirror keeps the removals of endpoints.
// Followers whose version is older get the whole list.
const removalRetention = time.Minute

// A mirror holds the catalog as this instance has read it, so that it can
// return the changes after any recent version. It is safe for concurrent use.
type mirror struct {
	mu        sync.Mutex
	endpoints endpointMirror
	operator  operatorMirror
	// changeSignal is closed and replaced when the endpoint list has been
	// applied or the operators' configuration has changed.
	changeSignal chan struct{}
}

func newMirror() *mirror {
	return &mirror{
		endpoints: endpointMirror{
			entries:       make(map[savorystep.EndpointID]savorystep.Endpoint),
			entryVersions: make(map[savorystep.EndpointID]savorystep.CatalogVersion), removals: make(map[savorystep.EndpointID]removal),
		},
		operator:     operatorMirror{zones: make(map[savorystep.Zone]zoneState)},
		changeSignal: make(chan struct{}),
	}
}

// notifyWaiters wakes the requests that wait for a change. The caller holds mu.
func (m *mirror) notifyWaiters() {
	close(m.changeSignal)
	m.changeSignal = make(chan struct{})
}

// A changeOrigin is the place from which changes were read.
type changeOrigin uint8

const (
	// originStore is the platform's store.
	originStore changeOrigin = iota
	// originReader is a reader that has read the store recently.
	originReader
	// originFallback is a peer with a recent picture that was queried because neither
	// the readers nor the store responded.
	originFallback
	// originPeer is a peer that returned its whole catalog, which may be old.
	originPeer
)

// A freshness records when a section of the catalog was last up to date.
type freshness struct {
	// storeReadAt is when this instance last read the store, updatedAt when its picture,
	// from the store or from a peer, was last up to date.
	storeReadAt, updatedAt time.Time
	// storeDelay is how long after the end of its wait the last response of the store
	// arrived that had no change.
	storeDelay time.Duration
}

// recordUpdate records that changes were read from an origin, which was up to date
// at the given time.
func (f *freshness) recordUpdate(upToDateAt time.Time, origin changeOrigin) {
	switch origin {
	case originStore:
		f.storeReadAt, f.updatedAt = upToDateAt, latest(f.updatedAt, upToDateAt)
	case originReader, originFallback:
		f.updatedAt = upToDateAt
	case originPeer:
	}
}

// upToDateAt returns the time that determines whether a query may be answered from a
// section at a version. Followers get only what this instance has read from the store
// itself. Starting instances, which query after version 0, and those that the readers
// and the store turn away may get the catalog from any instance that is up to date. The
// zero time is returned if the store has been restored since the section was read.
func (f *freshness) upToDateAt(version savorystep.CatalogVersion, query catalogQuery) time.Time {
	switch {
	case query.after.IsRestored(version):
		return time.Time{}
	case query.after == 0, query.allowRelayed:
		return f.updatedAt
	default:
		return f.storeReadAt
	}
}

// updatedAt returns when a section was last up to date.
func (m *mirror) updatedAt(f *freshness) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return f.updatedAt
}

// storeTimes returns when a section was last up to date, and how long responses of the
// store take.
func (m *mirror) storeTimes(f *freshness) (updatedAt time.Time, delay time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return f.updatedAt, f.storeDelay
}

// recordStoreDelay records how long a response of the store took beyond its wait.
func (m *mirror) recordStoreDelay(f *freshness, delay time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f.storeDelay = delay
}

// applyEndpoints applies changes of the endpoint list.
func (m *mirror) applyEndpoints(upToDateAt time.Time, changes savorystep.EndpointChanges, origin changeOrigin) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.endpoints.recordUpdate(upToDateAt, origin)
	m.endpoints.apply(upToDateAt, changes)
	m.notifyWaiters()
}

// expandReports returns the changes of a response with its reports expanded to
// whole entries. The error has kind KindNotReady if the entry of a report is
// unknown.
func (m *mirror) expandReports(response endpointsResponse) (savorystep.EndpointChanges, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	changes := response.Changes
	for _, report := range response.Reports {
		known, ok := m.endpoints.entries[report.ID]
		if !ok {
			return changes, savorystep.NewError(savorystep.KindNotReady, "response has a report of endpoint %s, which is not in the endpoint list", report.ID)
		}
		changes.Endpoints = append(changes.Endpoints, report.applyTo(known))
	}
	return changes, nil
}

// applyOperator applies changes of the operators' configuration.
func (m *mirror) applyOperator(upToDateAt time.Time, changes savorystep.OperatorChanges, origin changeOrigin) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.operator.recordUpdate(upToDateAt, origin)
	if m.operator.apply(changes) {
		m.notifyWaiters()
	}
}

// A removal records the removal of an endpoint.
type removal struct {
	version   savorystep.CatalogVersion
	removedAt time.Time
}

// An endpointMirror holds the endpoint list.
type endpointMirror struct {
	freshness

	version savorystep.CatalogVersion
	// removalsFrom is the version from which on all removals are kept.
	removalsFrom savorystep.CatalogVersion
	entries      map[savorystep.EndpointID]savorystep.Endpoint
	// entryVersions holds the version at which an entry last changed in more
	// than its report.
	entryVersions map[savorystep.EndpointID]savorystep.CatalogVersion
	removals      map[savorystep.EndpointID]removal
}

// apply applies changes and records removals. A removed endpoint that is listed
// again keeps its removal.
func (m *endpointMirror) apply(now time.Time, changes savorystep.EndpointChanges) {
	if m.removalsFrom == 0 || changes.Version.IsOfOtherEra(m.version) {
		m.forget(changes.Version)
	}
	if changes.Full {
		listed := make(map[savorystep.EndpointID]bool, len(changes.Endpoints))
		for _, entry := range changes.Endpoints {
			listed[entry.ID] = true
		}
		for id := range m.entries {
			if !listed[id] {
				changes.Removed = append(changes.Removed, id)
			}
		}
	}
	for _, id := range changes.Removed {
		delete(m.entries, id)
		delete(m.entryVersions, id)
		m.removals[id] = removal{version: changes.Version, removedAt: now}
	}
	for _, entry := range changes.Endpoints {
		// A removal is kept even if the endpoint is listed again: the new entry
		// may stem from a late report of an endpoint that has left. A follower
		// that does not get the removal would take the entry for a new
		// endpoint.
		if known, ok := m.entries[entry.ID]; !ok || m.entryVersions[entry.ID] == 0 || reportOf(known).applyTo(entry) != known {
			m.entryVersions[entry.ID] = entry.WrittenVersion
		}
		m.entries[entry.ID] = entry
	}
	for id, r := range m.removals {
		if now.Sub(r.removedAt) >= removalRetention {
			delete(m.removals, id)
			m.removalsFrom = max(m.removalsFrom, r.version)
		}
	}
	m.version = max(m.version, changes.Version)
}

// forget forgets at which versions the list has changed. Followers may have read entries
// at the given version, or in another era, that this instance has not.
func (m *endpointMirror) forget(version savorystep.CatalogVersion) {
	m.version, m.removalsFrom = version, version
	clear(m.entryVersions)
	clear(m.removals)
}

// changesSince returns the changes after a version, or the whole list if
// removals after the version may be missing.
func (m *endpointMirror) changesSince(after savorystep.CatalogVersion) savorystep.EndpointChanges {
	changes := savorystep.EndpointChanges{Version: max(m.version, after), Full: after < m.removalsFrom}
	for _, entry := range m.entries {
		if changes.Full || entry.WrittenVersion > after {
			changes.Endpoints = append(changes.Endpoints, entry)
		}
	}
	if changes.Full {
		return changes
	}
	for id, r := range m.removals {
		if r.version > after {
			changes.Removed = append(changes.Removed, id)
		}
	}
	return changes
}

// A zoneState holds whether a zone is evacuated, and the version since which.
type zoneState struct {
	version     savorystep.CatalogVersion
	isEvacuated bool
}

// An operatorMirror holds the operators' configuration.
type operatorMirror struct {
	freshness

	version savorystep.CatalogVersion
	routing *savorystep.Routing
	// routingVersion is the version at which routing was read.
	routingVersion savorystep.CatalogVersion
	zones          map[savorystep.Zone]zoneState
}

// apply applies changes and reports whether they had an effect. The configuration of
// another era replaces that of the era before, whatever their revisions.
func (o *operatorMirror) apply(changes savorystep.OperatorChanges) bool {
	isOfOtherEra := changes.Version.IsOfOtherEra(o.version)
	changed := isOfOtherEra
	if isOfOtherEra {
		clear(o.zones)
		o.routing, o.routingVersion = nil, changes.Version
	}
	setZone := func(zone savorystep.Zone, isEvacuated bool) {
		if o.zones[zone].isEvacuated != isEvacuated {
			o.zones[zone] = zoneState{version: changes.Version, isEvacuated: isEvacuated}
			changed = true
		}
	}
	if changes.Full {
		for zone := range o.zones {
			setZone(zone, false)
		}
	}
	for _, zone := range changes.RestoredZones {
		setZone(zone, false)
	}
	for _, zone := range changes.EvacuatedZones {
		setZone(zone, true)
	}
	if r := changes.Routing; r != nil && (o.routing == nil || r.Revision > o.routing.Revision) {
		o.routing, o.routingVersion = r, changes.Version
		changed = true
	}
	if isOfOtherEra || changes.Version > o.version {
		o.version = changes.Version
	}
	return changed
}

// changesSince returns the changes after a version, or the whole configuration
// after version 0 or a version of an earlier era.
func (o *operatorMirror) changesSince(after savorystep.CatalogVersion) savorystep.OperatorChanges {
	changes := savorystep.OperatorChanges{Version: max(o.version, after), Full: after == 0 || o.version.IsRestored(after)}
	if changes.Full || o.routingVersion > after {
		changes.Routing = o.routing
	}
	for zone, state := range o.zones {
		switch {
		case !changes.Full && state.version <= after:
		case state.isEvacuated:
			changes.EvacuatedZones = append(changes.EvacuatedZones, zone)
		case !changes.Full:
			changes.RestoredZones = append(changes.RestoredZones, zone)
		}
	}
	return changes
}
