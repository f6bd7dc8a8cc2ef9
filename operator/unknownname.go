package operator

import (
	"cmp"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"savorystep"
)

// An UnknownName is a name that callers requested and no service has.
type UnknownName struct {
	Name savorystep.Name `json:"name"`
	// Count is the number of requests for the name at all instances since they started.
	Count uint64 `json:"count"`
	// InstanceCount is the number of instances that received such requests.
	InstanceCount int `json:"instances"`
	// NearestServices are the services with similar names, the most similar first.
	NearestServices []savorystep.Service `json:"nearest,omitempty"`
}

// SumUnknownNames sums the counts of unknown names over all instances and returns the
// most frequent names first. Names that a service has in the meantime are left out.
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
