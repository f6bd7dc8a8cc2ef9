package operator

import (
	"cmp"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"savorystep"
)

// An UnknownName is a name that callers sent and that leads to no service.
type UnknownName struct {
	Name savorystep.Name `json:"name"`
	// Count is summed over all instances since they started.
	Count         uint64 `json:"count"`
	InstanceCount int    `json:"instances"`
	// NearestServices are the services with a similar name, the nearest first.
	NearestServices []savorystep.Service `json:"nearest,omitempty"`
}

// SumUnknownNames adds up the unknown names of all instances, the most frequent
// first. Names that lead to a service by now are left out.
func SumUnknownNames(facts []savorystep.ReceivedFact, view *savorystep.View) []UnknownName {
	sums := map[savorystep.Name]*UnknownName{}
	for _, fact := range facts {
		name := savorystep.Name(fact.Subject)
		var body savorystep.UnknownFact
		if err := cbor.Unmarshal(fact.Body, &body); err != nil || body.Count == 0 {
			continue
		}
		if _, known := view.ServicesByName[name]; known {
			continue
		}
		if sums[name] == nil {
			sums[name] = &UnknownName{Name: name, NearestServices: savorystep.NearestServices(name, view)}
		}
		sums[name].Count += body.Count
		sums[name].InstanceCount++
	}
	names := make([]UnknownName, 0, len(sums))
	for _, sum := range sums {
		names = append(names, *sum)
	}
	slices.SortFunc(names, func(a, b UnknownName) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Name, b.Name))
	})
	return names
}
