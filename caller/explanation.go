package caller

import (
	"net/netip"
	"time"

	"savorystep"
)

// An Explanation says why callers are steered to an entry and a region.
type Explanation struct {
	Name     savorystep.Name         `json:"name"`
	Origin   Origin                  `json:"origin"`
	Lookup   savorystep.Lookup       `json:"lookup"`
	Decision savorystep.Decision     `json:"decision"`
	Loads    []savorystep.RegionLoad `json:"loads"`
}

// Explain explains the answer to a lookup at the given time.
func (s *Resolver) Explain(name savorystep.Name, from string, now time.Time) (Explanation, error) {
	origin := s.Origin(from, netip.Addr{})
	lookup, decision, err := s.Lookup(name, origin, now)
	if err != nil {
		return Explanation{}, err
	}
	return Explanation{
		Name:     name,
		Origin:   origin,
		Lookup:   lookup,
		Decision: decision,
		Loads:    s.Endpoints.RegionLoads(lookup.Service, now),
	}, nil
}
