package endpoint

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"savorystep"
)

// A Table holds the endpoints of all services and chooses among them.
type Table struct {
	config     Config
	byID       map[savorystep.EndpointID]*server
	byService  map[savorystep.Service][]*server
	evacuated  map[savorystep.Zone]bool
	specs      map[savorystep.Service]savorystep.ServiceSpec
	budgets    map[savorystep.Service]*retryBudget
	paces      map[savorystep.Service]*pace
	instances  []savorystep.InstanceID
	mostMember int
	tombs      map[savorystep.EndpointID]*tombstone
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
		instances: []savorystep.InstanceID{config.Self},
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

// SetInstances sets the instances that are known to run, this one included.
func (t *Table) SetInstances(instances []savorystep.InstanceID) {
	t.instances = instances
	t.mostMember = max(t.mostMember, len(instances))
}

// Put adds an endpoint or updates it. It returns false if the entry is not
// taken: it is known already, or it was written by an old report.
func (t *Table) Put(now time.Time, entry savorystep.Endpoint) bool {
	known := t.byID[entry.ID]
	if known != nil {
		if entry.Written != 0 && entry.Written <= known.Written {
			return false
		}
		if entry.Born < known.Born || (entry.Born == known.Born && entry.Sequence <= known.Sequence) {
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
	s := &server{Endpoint: entry, hash: xxh3.HashString(string(entry.ID)), coldUntil: now.Add(entry.Cold), kept: make(keptObjects)}
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
	t.tombs[id] = &tombstone{born: s.Born, sequence: s.Sequence, at: now}
	t.byService[s.Service] = slices.DeleteFunc(t.byService[s.Service], func(other *server) bool { return other == s })
	return true
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

// Return lets the endpoints of a zone get requests again. They may have become
// cold in the meantime.
func (t *Table) Return(now time.Time, zone savorystep.Zone) {
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

// Evacuated returns the zones that get no requests.
func (t *Table) Evacuated() []savorystep.Zone {
	zones := make([]savorystep.Zone, 0, len(t.evacuated))
	for zone := range t.evacuated {
		zones = append(zones, zone)
	}
	return zones
}

// Choose returns an endpoint for a request and counts the request there until
// End. It returns false if no endpoint may get the request now.
func (t *Table) Choose(now time.Time, query Query) (Choice, bool) {
	choice, s := t.choose(now, query.Key, t.pace(query.Service), t.rank(query))
	if s == nil {
		return Choice{}, false
	}
	choice.Endpoint, choice.Load = s.Endpoint, s.load(now)
	choice.key, choice.began = query.Key, now
	s.inFlight++
	if s.isCold(now) {
		s.coldSends = append(s.coldSends, now)
	}
	return choice, true
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

// choose picks among ranked endpoints the one that is expected to answer first.
// Only the homes of an object are asked, and one more if they have long queues:
// others would have to fetch the object first and would forget one of their
// own for it. The next few in the order stand in for homes that are away.
func (t *Table) choose(now time.Time, key uint64, p *pace, ranked []ranked) (Choice, *server) {
	var best Choice
	var chosen *server
	candidates := 0
	for i, r := range ranked[:min(homes+standIns, len(ranked))] {
		s := r.server
		if s.isHeld(now) || s.isCold(now) {
			continue
		}
		if candidates >= homes && (chosen != nil || candidates > homes) {
			break
		}
		candidates++
		limit := maxQueue
		if candidates > homes {
			limit = mostlyFree
		}
		if s.load(now) >= limit*float64(s.Slots) {
			continue
		}
		choice := s.estimate(now, key, p, i == 0)
		if chosen == nil || choice.Expected < best.Expected {
			best, chosen = choice, s
			best.Reason = reasonOf(i, candidates)
		}
	}
	if chosen != nil {
		return best, chosen
	}
	return t.chooseCold(now, key, p, ranked)
}

// chooseCold picks the first cold endpoint that may get a request now.
func (t *Table) chooseCold(now time.Time, key uint64, p *pace, ranked []ranked) (Choice, *server) {
	for _, r := range ranked {
		if !r.server.isHeld(now) && r.server.isCold(now) && t.mayWarm(now, r.server) {
			choice := r.server.estimate(now, key, p, false)
			choice.Reason = ReasonCold
			return choice, r.server
		}
	}
	return Choice{}, nil
}

// reasonOf returns the reason for an endpoint by its place in the order and
// among the candidates.
func reasonOf(place, candidates int) Reason {
	switch {
	case place == 0:
		return ReasonOwner
	case candidates > homes:
		return ReasonStranger
	default:
		return ReasonOverflow
	}
}

// estimate returns a choice with the time to the answer: the wait for a slot
// and the work. The owner is likely to keep the object for other instances.
func (s *server) estimate(now time.Time, key uint64, p *pace, owner bool) Choice {
	kept := s.kept.has(now, key)
	work := p.fetched
	switch {
	case kept:
		work = p.kept
	case owner:
		work = (p.kept + p.fetched) / 2
	}
	waiting := max(0, s.load(now)+1-float64(s.Slots)) / float64(s.Slots)
	expected := time.Duration(waiting*float64(p.mean())) + work
	return Choice{kept: kept, Expected: time.Duration(float64(expected) * s.slowness.factor(now))}
}

const (
	// homes is how many endpoints keep an object. Endpoints of today's sizes
	// keep 17 to 36 objects and each service has 5 to 9 for each endpoint, so
	// three homes fit.
	homes = 2
	// standIns is how many further endpoints stand in for homes that are away.
	// With a third of a service away, all homes and stand-ins of one object in
	// 240 are.
	standIns = 3
	// maxQueue is how many requests for each slot an endpoint gets at most.
	// Beyond it a request waits longer than it takes to run.
	maxQueue = 2.0
	// mostlyFree bounds the load of an endpoint that gets a request for an
	// object of others.
	mostlyFree = 0.5
)

// A ranked is an endpoint with its place in the order of a request.
type ranked struct {
	server *server
	// steps counts the borders on the way to the endpoint, for a near request.
	steps int
	score uint64
}

// rank returns the endpoints that may get a request, in the order of the
// request's object. All instances compute the same order from the same list.
func (t *Table) rank(query Query) []ranked {
	list := t.byService[query.Service]
	order := make([]ranked, 0, len(list))
	for _, s := range list {
		if s.State != savorystep.StateLive || t.evacuated[s.Place.Zone] || slices.Contains(query.Tried, s.ID) {
			continue
		}
		if len(query.Regions) > 0 && !slices.Contains(query.Regions, s.Place.Region) {
			continue
		}
		order = append(order, ranked{server: s, steps: query.steps(s.Place), score: mix(s.hash ^ query.Key)})
	}
	slices.SortFunc(order, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.steps, b.steps), cmp.Compare(b.score, a.score))
	})
	return order
}

// mix spreads the bits of a hash (the finalizer of splitmix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// End takes the outcome of an attempt. The load is nil if the endpoint told
// none.
func (t *Table) End(now time.Time, choice Choice, outcome Outcome, load *Load) {
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
		s.slowness.note(now, took, choice.Expected)
	case OutcomeSilent:
		s.slowness.note(now, took, choice.Expected)
	default:
	}
}

// Counts returns how many endpoints a service has and how many of them can get
// requests now.
func (t *Table) Counts(now time.Time, service savorystep.Service) (all, usable int) {
	for _, s := range t.byService[service] {
		all++
		if s.State == savorystep.StateLive && !t.evacuated[s.Place.Zone] && !s.isHeld(now) && !s.isCold(now) {
			usable++
		}
	}
	return all, usable
}
