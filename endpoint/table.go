package endpoint

import (
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"savorystep"
)

// A Table holds the endpoints of all services and chooses among them.
type Table struct {
	config    Config
	byID      map[savorystep.EndpointID]*server
	byService map[savorystep.Service][]*server
	evacuated map[savorystep.Zone]bool
	specs     map[savorystep.Service]savorystep.ServiceSpec
	budgets   map[savorystep.Service]*retryBudget
	paces     map[savorystep.Service]*pace
	// instances are those known lately, this one included, with the time when
	// each was last known.
	instances map[savorystep.InstanceID]time.Time
	tombs     map[savorystep.EndpointID]*tombstone
	// started is when the first entry was taken.
	started time.Time
}

// NewTable returns a table without endpoints.
func NewTable(config Config) *Table {
	return &Table{
		config:    config,
		byID:      make(map[savorystep.EndpointID]*server),
		byService: make(map[savorystep.Service][]*server),
		evacuated: make(map[savorystep.Zone]bool),
		budgets:   make(map[savorystep.Service]*retryBudget),
		paces:     make(map[savorystep.Service]*pace),
		instances: make(map[savorystep.InstanceID]time.Time),
		tombs:     make(map[savorystep.EndpointID]*tombstone),
	}
}

// SetConfig replaces the configuration. The window of repeats stays as it is
// for services with requests.
func (t *Table) SetConfig(config Config) {
	t.config = config
}

// SetSpecs sets what the configuration says of the services.
func (t *Table) SetSpecs(specs map[savorystep.Service]savorystep.ServiceSpec) {
	t.specs = specs
}

// Put adds an endpoint or updates it. It returns false if the entry is not
// taken: it is known already, or it was written by an old report.
func (t *Table) Put(now time.Time, entry savorystep.Endpoint) bool {
	known := t.byID[entry.ID]
	if known != nil {
		if entry.WrittenVersion != 0 && entry.WrittenVersion <= known.WrittenVersion {
			return false
		}
		if entry.StartedAtMillis < known.StartedAtMillis || (entry.StartedAtMillis == known.StartedAtMillis && entry.ReportSequence <= known.ReportSequence) {
			// The entry may have been removed in between, so that the old report
			// made it anew.
			t.Remove(now, entry.ID)
			t.tombs[entry.ID].rewritten(entry)
			return false
		}
		if known.Service == entry.Service {
			known.update(now, entry)
			return true
		}
		t.Remove(now, entry.ID)
	}
	if t.started.IsZero() {
		t.started = now
	}
	if t.isStale(now, entry) {
		return false
	}
	s := &server{Endpoint: entry, hash: xxh3.HashString(string(entry.ID)), coldUntil: now.Add(entry.ColdRemaining), kept: make(keptObjects)}
	t.byID[entry.ID] = s
	t.byService[entry.Service] = append(t.byService[entry.Service], s)
	return true
}

// Remove forgets an endpoint. It returns false if there was none.
func (t *Table) Remove(now time.Time, id savorystep.EndpointID) bool {
	s := t.byID[id]
	if s == nil {
		return false
	}
	delete(t.byID, id)
	t.forgetTombs(now)
	t.tombs[id] = &tombstone{born: s.StartedAtMillis, sequence: s.ReportSequence, at: now}
	t.byService[s.Service] = slices.DeleteFunc(t.byService[s.Service], func(other *server) bool { return other == s })
	return true
}

// SetExpiry lets an endpoint get requests until a time only. A zero time lets it get
// them on.
func (t *Table) SetExpiry(id savorystep.EndpointID, at time.Time) {
	if s := t.byID[id]; s != nil {
		s.lapsesAt = at
	}
}

// IDs returns the ids of all endpoints.
func (t *Table) IDs() []savorystep.EndpointID {
	ids := make([]savorystep.EndpointID, 0, len(t.byID))
	for id := range t.byID {
		ids = append(ids, id)
	}
	return ids
}

// Evacuate keeps requests from the endpoints of a zone.
func (t *Table) Evacuate(zone savorystep.Zone) {
	t.evacuated[zone] = true
}

// EndEvacuation lets the endpoints of a zone get requests again. They may have become
// cold in the meantime.
func (t *Table) EndEvacuation(now time.Time, zone savorystep.Zone) {
	if !t.evacuated[zone] {
		return
	}
	delete(t.evacuated, zone)
	for _, s := range t.byID {
		if s.Place.Zone == zone {
			s.doubt(now)
		}
	}
}

// EvacuatedZones returns the zones that get no requests.
func (t *Table) EvacuatedZones() []savorystep.Zone {
	zones := make([]savorystep.Zone, 0, len(t.evacuated))
	for zone := range t.evacuated {
		zones = append(zones, zone)
	}
	return zones
}

// Finish takes the outcome of an attempt. The load is nil if the endpoint told
// none.
func (t *Table) Finish(now time.Time, choice Choice, outcome Outcome, load *Load) {
	s := t.byID[choice.Endpoint.ID]
	if s == nil {
		return
	}
	if load != nil {
		s.report.note(now, *load, s.inFlight)
	}
	s.inFlight = max(0, s.inFlight-1)
	s.end(now, outcome)
	took := now.Sub(choice.began)
	switch outcome {
	case OutcomeAnswered:
		if choice.Load < float64(s.Slots) && !s.isCold(now) {
			t.pace(s.Service).note(choice.kept, took)
		}
		s.kept.add(now, choice.key)
		s.slowness.note(now, took, choice.ExpectedLatency)
	case OutcomeTimedOut:
		s.slowness.note(now, took, choice.ExpectedLatency)
	default:
	}
}

// CountEndpoints returns how many endpoints a service has and how many of them can get
// requests now.
func (t *Table) CountEndpoints(now time.Time, service savorystep.Service) (all, usable int) {
	for _, s := range t.byService[service] {
		all++
		if s.State == savorystep.StateLive && !t.evacuated[s.Place.Zone] && !s.hasLapsed(now) && !s.isHeld(now) && !s.isCold(now) {
			usable++
		}
	}
	return all, usable
}

// pace returns the pace of a service.
func (t *Table) pace(service savorystep.Service) *pace {
	p := t.paces[service]
	if p == nil {
		p = newPace()
		t.paces[service] = p
	}
	return p
}
