package standin

import (
	"fmt"
	"time"

	"savorystep"
)

// A Shape describes a simulated site: its regions, link latencies and services.
// Latencies are one-way.
type Shape struct {
	Name    string
	Regions []savorystep.Region
	// ZoneLatency is the latency between zones of a region, RegionLatency that
	// between regions and ClientLatency that between a caller and its own region.
	ZoneLatency   time.Duration
	RegionLatency time.Duration
	ClientLatency time.Duration
	// StoreRegion is the region of the platform's store.
	StoreRegion savorystep.Region
	Services    []ServiceShape
	// ConnectCost is added to the first request on each connection to an
	// endpoint.
	ConnectCost time.Duration
	// DrainedRegion is the region that drain scenarios drain. TargetRegion is the
	// region that receives its traffic in shift scenarios.
	DrainedRegion savorystep.Region
	TargetRegion  savorystep.Region
	// Preference is what the site's steering records prefer.
	Preference savorystep.Preference
}

// A ServiceShape describes a service of a site.
type ServiceShape struct {
	Service savorystep.Service
	// Endpoints is the number of endpoints.
	Endpoints int
	// Slots and MaxConnections are the limits of each endpoint.
	Slots          savorystep.Slots
	MaxConnections int
	// Misspellings are wrong names that callers use for the service. The steering
	// record has them as aliases.
	Misspellings []savorystep.Name
	// NonIdempotent is true if requests to the service must not run more than
	// once.
	NonIdempotent bool
}

// Corrente returns the shape of the site of Cooperativa Corrente Limpa.
func Corrente() Shape {
	return Shape{
		Name:          "corrente",
		Regions:       []savorystep.Region{"recife", "natal", "fortaleza"},
		ZoneLatency:   1500 * time.Microsecond,
		RegionLatency: 35 * time.Millisecond,
		ClientLatency: 3 * time.Millisecond,
		StoreRegion:   "recife",
		Services: []ServiceShape{
			{Service: "status", Endpoints: 14, Slots: 6, MaxConnections: 330, Misspellings: []savorystep.Name{"statsu", "staus"}},
			{Service: "renewals", Endpoints: 12, Slots: 3, MaxConnections: 330, Misspellings: []savorystep.Name{"renewels"}, NonIdempotent: true},
			{Service: "claims", Endpoints: 12, Slots: 4, MaxConnections: 330, Misspellings: []savorystep.Name{"clains"}},
			{Service: "stock", Endpoints: 13, Slots: 5, MaxConnections: 330, Misspellings: []savorystep.Name{"stokc"}},
		},
		ConnectCost:   time.Millisecond,
		DrainedRegion: "recife",
		TargetRegion:  "natal",
		Preference:    savorystep.PreferLatency,
	}
}

// Huon returns the shape of the site of Huon Foamworks.
func Huon() Shape {
	return Shape{
		Name:          "huon",
		Regions:       []savorystep.Region{"hobart", "launceston", "burnie"},
		ZoneLatency:   time.Millisecond,
		RegionLatency: 35 * time.Millisecond,
		ClientLatency: 8 * time.Millisecond,
		StoreRegion:   "hobart",
		Services: []ServiceShape{
			{Service: "stock", Endpoints: 20, Slots: 3, MaxConnections: 390, Misspellings: []savorystep.Name{"stcok"}},
			{Service: "orders", Endpoints: 12, Slots: 3, MaxConnections: 390, Misspellings: []savorystep.Name{"oders"}, NonIdempotent: true},
			{Service: "scans", Endpoints: 12, Slots: 3, MaxConnections: 390, Misspellings: []savorystep.Name{"scnas"}},
			{Service: "patterns", Endpoints: 12, Slots: 3, MaxConnections: 390, Misspellings: []savorystep.Name{"paterns"}},
		},
		ConnectCost:   time.Millisecond,
		DrainedRegion: "hobart",
		TargetRegion:  "burnie",
		Preference:    savorystep.PreferHeadroom,
	}
}

// Zones returns the two availability zones of a region.
func (s Shape) Zones(region savorystep.Region) []savorystep.Zone {
	return []savorystep.Zone{
		savorystep.Zone(string(region) + "-a"),
		savorystep.Zone(string(region) + "-b"),
	}
}

// Places returns all places in an order in which consecutive places are in
// different regions.
func (s Shape) Places() []savorystep.Place {
	places := make([]savorystep.Place, 0, 2*len(s.Regions))
	for i := range 2 {
		for _, region := range s.Regions {
			places = append(places, savorystep.Place{Region: region, Zone: s.Zones(region)[i]})
		}
	}
	return places
}

// Endpoints returns the endpoints of a service, distributed over all places. They
// have no address.
func (s Shape) Endpoints(service ServiceShape) []savorystep.Endpoint {
	places := s.Places()
	endpoints := make([]savorystep.Endpoint, 0, service.Endpoints)
	for i := range service.Endpoints {
		endpoints = append(endpoints, savorystep.Endpoint{
			ID:             savorystep.EndpointID(fmt.Sprintf("%s-%02d", service.Service, i+1)),
			Service:        service.Service,
			Place:          places[i%len(places)],
			State:          savorystep.StateLive,
			Slots:          service.Slots,
			MaxConnections: service.MaxConnections,
		})
	}
	return endpoints
}

// Record returns the steering record of a service with equal shares.
func (s Shape) Record(service ServiceShape) savorystep.Record {
	shares := make([]savorystep.Share, 0, len(s.Regions))
	for _, region := range s.Regions {
		shares = append(shares, savorystep.Share{Region: region, Weight: 1})
	}
	return savorystep.Record{
		Schema:  2,
		Service: service.Service,
		Aliases: service.Misspellings,
		Prefer:  s.Preference,
		Shares:  shares,
	}
}
