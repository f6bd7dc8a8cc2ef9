package endpoint_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"savorystep"
	"savorystep/endpoint"
)

// excluded returns the endpoints that get no requests now, why and for how long.
func (s *script) excluded() string {
	var out strings.Builder
	for _, e := range s.table.Excluded(s.now) {
		fmt.Fprintf(&out, "%s %s\n", e.ID, formatAdmission(s.now, e.Admission))
	}
	return out.String()
}

// explain chooses an endpoint for a request and returns why there is none.
func (s *script) explain(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	query := endpoint.Query{Service: "s", AffinityKey: uint64(intArg(t, d, "key"))}
	for id := range strings.SplitSeq(arg(t, d, "attempted"), "+") {
		query.AttemptedEndpoints = append(query.AttemptedEndpoints, savorystep.EndpointID(id))
	}
	if region := arg(t, d, "allowed"); region != "" {
		query.AllowedRegions = []savorystep.Region{savorystep.Region(region)}
	}
	choice, ok := s.table.Choose(s.now, query)
	if ok {
		return fmt.Sprintf("%s is chosen\n", choice.Endpoint.ID)
	}
	var out strings.Builder
	for _, e := range s.table.Explain(s.now, query, choice) {
		fmt.Fprintf(&out, "%d %s\n", e.Count, formatAdmission(s.now, e.Admission))
	}
	return out.String()
}

// formatAdmission returns the reason of an admission and, if it is known, for how long it
// holds.
func formatAdmission(now time.Time, a endpoint.Admission) string {
	if a.Until.IsZero() {
		return a.Exclusion.String()
	}
	return fmt.Sprintf("%s for %v", a.Exclusion, a.Until.Sub(now).Round(time.Millisecond))
}
