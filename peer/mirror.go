package peer

import (
	"sync"
	"time"

	"savorystep"
)

// removalMemory is how long a mirror remembers removed endpoints. Followers
// that are further behind get the whole list.
const removalMemory = time.Minute

// A mirror holds the state of the catalog as this instance read it from the
// store, so that it can tell changes after any recent version. It is safe for
// concurrent use.
type mirror struct {
	mu     sync.Mutex
	list   listMirror
	orders orderMirror
	// changed is closed when the list or the orders have a new version.
	changed chan struct{}
}

func newMirror() *mirror {
	return &mirror{
		list: listMirror{
			entries: make(map[savorystep.EndpointID]savorystep.Endpoint),
			changed: make(map[savorystep.EndpointID]savorystep.CatalogVersion), removed: make(map[savorystep.EndpointID]removal),
		},
		orders:  orderMirror{zones: make(map[savorystep.Zone]zoneOrder)},
		changed: make(chan struct{}),
	}
}

// wake wakes those who wait for a change. The caller holds mu.
func (m *mirror) wake() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// A source is where changes come from.
type source uint8

const (
	// sourceStore means that they were read from the store.
	sourceStore source = iota
	// sourceReader means that a reader that had read the store lately told them.
	sourceReader
	// sourceStart means that a peer told all that it knew, which may be old.
	sourceStart
)

// A freshness is when a part of the catalog was last known to be up to date.
type freshness struct {
	// read is when this instance read the store, heard when it read the store or
	// heard from a reader that had.
	read, heard time.Time
}

// note takes note of changes from a source.
func (f *freshness) note(now time.Time, from source) {
	switch from {
	case sourceStore:
		f.read, f.heard = now, now
	case sourceReader:
		f.heard = now
	case sourceStart:
	}
}

// since returns what counts for a question after a version: a follower's changes
// come from the store, a start may be told by any peer that is up to date.
func (f *freshness) since(after savorystep.CatalogVersion) time.Time {
	if after == 0 {
		return f.heard
	}
	return f.read
}

// applyList takes changes of the list.
func (m *mirror) applyList(now time.Time, changes savorystep.EndpointChanges, from source) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.list.note(now, from)
	m.list.apply(now, changes)
	m.wake()
}

// listChanges returns the changes of an answer with whole entries.
func (m *mirror) listChanges(answer listAnswer) (savorystep.EndpointChanges, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	changes := answer.Changes
	for _, report := range answer.Reports {
		known, ok := m.list.entries[report.ID]
		if !ok {
			return changes, savorystep.NewError(savorystep.KindNotReady, "endpoint %s is told as known and is not", report.ID)
		}
		changes.Endpoints = append(changes.Endpoints, report.entry(known))
	}
	return changes, nil
}

// applyOrders takes changes of the orders.
func (m *mirror) applyOrders(now time.Time, changes savorystep.OperatorChanges, from source) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.orders.note(now, from)
	if m.orders.apply(changes) {
		m.wake()
	}
}

// A removal is when an endpoint was removed.
type removal struct {
	version savorystep.CatalogVersion
	at      time.Time
}

// A listMirror is the endpoint list.
type listMirror struct {
	freshness

	version savorystep.CatalogVersion
	// base is the version from which on removals are remembered.
	base    savorystep.CatalogVersion
	entries map[savorystep.EndpointID]savorystep.Endpoint
	// changed is the version at which more than an endpoint's report changed.
	changed map[savorystep.EndpointID]savorystep.CatalogVersion
	removed map[savorystep.EndpointID]removal
}

func (l *listMirror) apply(now time.Time, changes savorystep.EndpointChanges) {
	if l.base == 0 {
		l.base = changes.Version
	}
	if changes.Full {
		listed := make(map[savorystep.EndpointID]bool, len(changes.Endpoints))
		for _, entry := range changes.Endpoints {
			listed[entry.ID] = true
		}
		for id := range l.entries {
			if !listed[id] {
				changes.Removed = append(changes.Removed, id)
			}
		}
	}
	for _, id := range changes.Removed {
		delete(l.entries, id)
		delete(l.changed, id)
		l.removed[id] = removal{version: changes.Version, at: now}
	}
	for _, entry := range changes.Endpoints {
		// A removal before stays known: the entry may be an old report's, and who
		// does not hear of the removal takes it for a new one.
		if known, ok := l.entries[entry.ID]; !ok || reportOf(known).entry(entry) != known {
			l.changed[entry.ID] = entry.WrittenVersion
		}
		l.entries[entry.ID] = entry
	}
	for id, r := range l.removed {
		if now.Sub(r.at) >= removalMemory {
			delete(l.removed, id)
			l.base = max(l.base, r.version)
		}
	}
	l.version = max(l.version, changes.Version)
}

// changesSince returns the changes after a version.
func (l *listMirror) changesSince(after savorystep.CatalogVersion) savorystep.EndpointChanges {
	changes := savorystep.EndpointChanges{Version: max(l.version, after), Full: after < l.base}
	for _, entry := range l.entries {
		if changes.Full || entry.WrittenVersion > after {
			changes.Endpoints = append(changes.Endpoints, entry)
		}
	}
	if changes.Full {
		return changes
	}
	for id, r := range l.removed {
		if r.version > after {
			changes.Removed = append(changes.Removed, id)
		}
	}
	return changes
}

// A zoneOrder says whether a zone is evacuated, since when.
type zoneOrder struct {
	version   savorystep.CatalogVersion
	evacuated bool
}

// An orderMirror is the operators' orders.
type orderMirror struct {
	freshness

	version savorystep.CatalogVersion
	routing *savorystep.Routing
	// routed is the version at which routing was read.
	routed savorystep.CatalogVersion
	zones  map[savorystep.Zone]zoneOrder
}

// apply reports whether there was a change.
func (o *orderMirror) apply(changes savorystep.OperatorChanges) bool {
	changed := false
	set := func(zone savorystep.Zone, evacuated bool) {
		if o.zones[zone].evacuated != evacuated {
			o.zones[zone] = zoneOrder{version: changes.Version, evacuated: evacuated}
			changed = true
		}
	}
	if changes.Full {
		for zone := range o.zones {
			set(zone, false)
		}
	}
	for _, zone := range changes.RestoredZones {
		set(zone, false)
	}
	for _, zone := range changes.EvacuatedZones {
		set(zone, true)
	}
	if r := changes.Routing; r != nil && (o.routing == nil || r.Revision > o.routing.Revision) {
		o.routing, o.routed = r, changes.Version
		changed = true
	}
	o.version = max(o.version, changes.Version)
	return changed
}

// changesSince returns the changes after a version.
func (o *orderMirror) changesSince(after savorystep.CatalogVersion) savorystep.OperatorChanges {
	changes := savorystep.OperatorChanges{Version: max(o.version, after), Full: after == 0}
	if o.routed > after {
		changes.Routing = o.routing
	}
	for zone, order := range o.zones {
		switch {
		case order.version <= after:
		case order.evacuated:
			changes.EvacuatedZones = append(changes.EvacuatedZones, zone)
		case !changes.Full:
			changes.RestoredZones = append(changes.RestoredZones, zone)
		}
	}
	return changes
}
