package caller

import (
	"net/netip"
	"sync/atomic"
	"time"

	"savorystep"
)

// lookupTTL is how long callers may cache the response to a lookup. It limits the time
// for which an entry that shuts down still receives requests.
const lookupTTL = 5 * time.Second

// A SteerFunc returns the region that serves a service's callers in a block of clients
// whose home region is home. loads holds the load of the service in each region.
type SteerFunc func(
	record *savorystep.Record,
	block savorystep.BlockID,
	home savorystep.Region,
	loads []savorystep.RegionLoad,
	now time.Time,
) savorystep.Decision

// A Resolver answers lookups: it chooses the region for a caller and ranks the entries
// of that region.
type Resolver struct {
	ResolverConfig
	ranker *EntryRanker
	blocks atomic.Pointer[BlockTable]
}

// ResolverConfig configures a Resolver. Self is the instance that it runs on.
type ResolverConfig struct {
	Config    savorystep.Config
	Endpoints savorystep.Endpoints
	Members   savorystep.Members
	Self      savorystep.Instance
	Steer     SteerFunc
}

// NewResolver returns a resolver with an empty block table.
func NewResolver(config ResolverConfig) *Resolver {
	resolver := &Resolver{
		ResolverConfig: config,
		ranker:         NewEntryRanker(EntryRankerConfig{Members: config.Members}),
	}
	resolver.blocks.Store(NewBlockTable(nil))
	return resolver
}

// SetBlocks replaces the block table.
func (r *Resolver) SetBlocks(blocks *BlockTable) {
	r.blocks.Store(blocks)
}

// An Origin is the block of clients that a caller belongs to and the home region of the
// block.
type Origin struct {
	Block savorystep.BlockID `json:"block"`
	Home  savorystep.Region  `json:"home"`
}

// Origin returns the origin of a caller. declared is the IP address or region that the
// caller declares, or empty. remote is the address of its connection; it determines the
// block unless declared is an address, and also the home region if declared is empty.
// The home region of an address outside of all blocks is that of this instance.
func (r *Resolver) Origin(declared string, remote netip.Addr) Origin {
	table := r.blocks.Load()
	addr := remote
	if declared != "" {
		parsed, err := netip.ParseAddr(declared)
		if err != nil {
			id, _, _ := table.Find(remote)
			return Origin{Block: id, Home: savorystep.Region(declared)}
		}
		addr = parsed
	}
	id, home, ok := table.Find(addr)
	if !ok {
		home = r.Self.Place.Region
	}
	return Origin{Block: id, Home: home}
}

// ResolveName returns the record of the service that has the given name or alias in
// view. The error for an unknown name has KindUnknownName and suggests similar names.
func ResolveName(view *savorystep.View, name savorystep.Name) (*savorystep.Record, error) {
	service, ok := view.ServicesByName[name]
	if !ok {
		return nil, unknownNameError(view, name)
	}
	return view.Records[service], nil
}

// unknownNameError returns the error for an unknown name, with similar names as
// suggestions.
func unknownNameError(view *savorystep.View, name savorystep.Name) error {
	err := savorystep.NewError(savorystep.KindUnknownName, "no service has the name %q", name)
	err.Suggestions = savorystep.NearestServices(name, view)
	return err
}

// Lookup returns the response to a lookup at the given time and the steering decision
// behind it. The error has KindUnknownName, KindNoUpstream or KindNotReady.
func (r *Resolver) Lookup(
	name savorystep.Name,
	origin Origin,
	now time.Time,
) (savorystep.Lookup, savorystep.Decision, error) {
	view := r.Config.View()
	record, err := ResolveName(view, name)
	if err != nil {
		return savorystep.Lookup{}, savorystep.Decision{}, err
	}
	loads := r.Endpoints.RegionLoads(record.Service, now)
	decision := r.Steer(record, origin.Block, origin.Home, loads, now)
	if decision.Region == "" {
		err := savorystep.NewError(savorystep.KindNoUpstream, "no region can serve service %s: %s", record.Service, decision.Reason)
		return savorystep.Lookup{}, decision, err
	}
	entries := r.ranker.Entries(record.Service, decision.Region, regionSlots(loads, decision.Region), origin.Block, now)
	if len(entries) == 0 {
		// The caller would cache an empty list of entries for lookupTTL.
		return savorystep.Lookup{}, decision, savorystep.NewError(savorystep.KindNotReady, "no entry is ready for service %s in region %s", record.Service, decision.Region)
	}
	return savorystep.Lookup{
		Service:   record.Service,
		Revision:  view.Revision,
		Region:    decision.Region,
		TTL:       lookupTTL,
		TTLMillis: lookupTTL.Milliseconds(),
		Entries:   entries,
	}, decision, nil
}

// regionSlots returns the number of slots in a region, 0 if it has no load entry.
func regionSlots(loads []savorystep.RegionLoad, region savorystep.Region) savorystep.Slots {
	for i := range loads {
		if loads[i].Region == region {
			return loads[i].Slots
		}
	}
	return 0
}
