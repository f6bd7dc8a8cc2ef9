package endpoint

import (
	"cmp"
	"slices"
	"time"

	"savorystep"
)

// An ExcludedEndpoint is an endpoint that may get no requests now, whatever they are.
type ExcludedEndpoint struct {
	Admission

	ID      savorystep.EndpointID
	Service savorystep.Service
	Place   savorystep.Place
}

// Excluded returns the endpoints that may get no requests now, by service and id.
func (t *Table) Excluded(now time.Time) []ExcludedEndpoint {
	var excluded []ExcludedEndpoint
	for _, s := range t.byID {
		if a := t.admission(now, s, &Query{Service: s.Service}); a.Exclusion != ExclusionNone {
			excluded = append(excluded, ExcludedEndpoint{Admission: a, ID: s.ID, Service: s.Service, Place: s.Place})
		}
	}
	slices.SortFunc(excluded, func(a, b ExcludedEndpoint) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
	})
	return excluded
}

// An ExclusionCount is the number of endpoints that are excluded for a reason.
type ExclusionCount struct {
	// Admission has the reason and the earliest end that is known.
	Admission

	Count int
}

// Explain returns why Choose found no endpoint for a query and returned a choice, by
// reason in the order of the checks. Endpoints that are not excluded would respond too
// late, or are no affinity endpoints of the object and have too much load for others.
func (t *Table) Explain(now time.Time, query Query, choice Choice) []ExclusionCount {
	query.excludesUnlimited, query.staysInRegion = choice.excludesUnlimited, choice.staysInRegion
	var counts [exclusionCount]ExclusionCount
	for _, s := range t.byService[query.Service] {
		a := t.admission(now, s, &query)
		c := &counts[a.Exclusion]
		if c.Count == 0 || c.Until.IsZero() || (!a.Until.IsZero() && a.Until.Before(c.Until)) {
			c.Until = a.Until
		}
		c.Exclusion = a.Exclusion
		c.Count++
	}
	var found []ExclusionCount
	for _, c := range counts[ExclusionNone+1:] {
		if c.Count > 0 {
			found = append(found, c)
		}
	}
	return found
}
