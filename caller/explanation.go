package caller

import (
	"net/netip"
	"time"

	"savorystep"
)

// An Explanation is the response to a lookup together with the input of the steering
// decision: the origin of the caller and the load of each region.
type Explanation struct {
	Name     savorystep.Name         `json:"name"`
	Origin   Origin                  `json:"origin"`
	Lookup   savorystep.Lookup       `json:"lookup"`
	Decision savorystep.Decision     `json:"decision"`
	Loads    []savorystep.RegionLoad `json:"loads"`
}

// Explain returns the response that a lookup gets at the given time and the decision
// behind it. declaredOrigin is an IP address or a region, or empty.
func (r *Resolver) Explain(name savorystep.Name, declaredOrigin string, now time.Time) (Explanation, error) {
	origin := r.Origin(declaredOrigin, netip.Addr{})
	lookup, decision, err := r.Lookup(name, origin, now)
	if err != nil {
		return Explanation{}, err
	}
	return Explanation{
		Name:     name,
		Origin:   origin,
		Lookup:   lookup,
		Decision: decision,
		Loads:    r.Endpoints.RegionLoads(lookup.Service, now),
	}, nil
}
