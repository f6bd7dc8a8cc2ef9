package caller

import (
	"net/netip"
	"sync/atomic"
	"time"

	"savorystep"
)

// lookupLifetime is how long callers may use the answer to a lookup. It
// bounds how long a leaving entry still gets requests.
const lookupLifetime = 5 * time.Second

// A SteerFunc chooses the region for a block of clients.
type SteerFunc func(
	record *savorystep.Record,
	block savorystep.BlockID,
	home savorystep.Region,
	loads []savorystep.RegionLoad,
	now time.Time,
) savorystep.Decision

// A Resolver answers lookups.
type Resolver struct {
	ResolverConfig
	roster *Roster
	blocks atomic.Pointer[BlockTable]
}

// ResolverConfig configures a Steering.
type ResolverConfig struct {
	Config    savorystep.Config
	Endpoints savorystep.Endpoints
	Members   savorystep.Members
	Self      savorystep.Instance
	Steer     SteerFunc
}

// NewResolver returns a steering with an empty block table.
func NewResolver(config ResolverConfig) *Resolver {
	steering := &Resolver{
		ResolverConfig: config,
		roster:         NewRoster(RosterConfig{Members: config.Members}),
	}
	steering.blocks.Store(NewBlockTable(nil))
	return steering
}

// SetBlocks replaces the block table.
func (s *Resolver) SetBlocks(blocks *BlockTable) {
	s.blocks.Store(blocks)
}

// An Origin is where a caller calls from.
type Origin struct {
	Block savorystep.BlockID `json:"block"`
	Home  savorystep.Region  `json:"home"`
}

// Origin returns the origin of a caller. from is an IP number or a region, and
// remote is the caller's own address, used if from is empty or its number lies
// outside of all blocks. A caller outside of all blocks belongs to the region
// of this instance.
func (s *Resolver) Origin(from string, remote netip.Addr) Origin {
	table := s.blocks.Load()
	addr := remote
	if from != "" {
		parsed, err := netip.ParseAddr(from)
		if err != nil {
			id, _, _ := table.Find(remote)
			return Origin{Block: id, Home: savorystep.Region(from)}
		}
		addr = parsed
	}
	id, home, ok := table.Find(addr)
	if !ok {
		home = s.Self.Place.Region
	}
	return Origin{Block: id, Home: home}
}

// ResolveName returns the record that a name leads to in the given view. An unknown
// name gives KindUnknownName with suggestions.
func ResolveName(view *savorystep.View, name savorystep.Name) (*savorystep.Record, error) {
	service, ok := view.ServicesByName[name]
	if !ok {
		return nil, unknownNameError(view, name)
	}
	return view.Records[service], nil
}

// unknownNameError returns the refusal of an unknown name.
func unknownNameError(view *savorystep.View, name savorystep.Name) error {
	err := savorystep.NewError(savorystep.KindUnknownName, "no service has the name %q", name)
	err.Suggestions = savorystep.NearestServices(name, view)
	return err
}

// Lookup answers a lookup at the given time.
func (s *Resolver) Lookup(
	name savorystep.Name,
	origin Origin,
	now time.Time,
) (savorystep.Lookup, savorystep.Decision, error) {
	view := s.Config.View()
	record, err := ResolveName(view, name)
	if err != nil {
		return savorystep.Lookup{}, savorystep.Decision{}, err
	}
	loads := s.Endpoints.RegionLoads(record.Service, now)
	decision := s.Steer(record, origin.Block, origin.Home, loads, now)
	if decision.Region == "" {
		err := savorystep.NewError(savorystep.KindNoUpstream, "no region can take service %s: %s", record.Service, decision.Reason)
		return savorystep.Lookup{}, decision, err
	}
	entries := s.roster.Entries(record.Service, decision.Region, slotsIn(loads, decision.Region), origin.Block, now)
	if len(entries) == 0 {
		// An empty answer would be cached for the lifetime of lookups.
		return savorystep.Lookup{}, decision, savorystep.NewError(savorystep.KindNotReady, "no entry is known to be ready")
	}
	return savorystep.Lookup{
		Service:   record.Service,
		Revision:  view.Revision,
		Region:    decision.Region,
		TTL:       lookupLifetime,
		TTLMillis: lookupLifetime.Milliseconds(),
		Entries:   entries,
	}, decision, nil
}

// slotsIn returns the slots of a region.
func slotsIn(loads []savorystep.RegionLoad, region savorystep.Region) savorystep.Slots {
	for i := range loads {
		if loads[i].Region == region {
			return loads[i].Slots
		}
	}
	return 0
}
