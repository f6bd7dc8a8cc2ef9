package endpoint_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"savorystep"
	"savorystep/endpoint"
)

// TestChooseKeepsHomes guards against requests at endpoints outside the regions that
// their route allows, for whatever reason an endpoint is chosen: as affinity
// endpoint, overflow, fallback, cold endpoint or on a retry, while endpoints are
// moved, evacuated, limited, failing and full.
func TestChooseKeepsHomes(t *testing.T) {
	regions := []savorystep.Region{"east", "north", "south"}
	reasons := make(map[endpoint.Reason]int)
	rateLimited := 0
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 0)) //nolint:gosec // A test with fixed seeds.
		table := endpoint.NewTable(endpoint.Config{Self: "self", ColdFactor: 1, ColdSlack: 8})
		table.SetSpecs(map[savorystep.Service]savorystep.ServiceSpec{"s": {Name: "s", ColdRate: 5}})
		now := time.Unix(0, 0)
		version := savorystep.CatalogVersion(0)
		var pending []endpoint.Choice
		for range 200 {
			now = now.Add(time.Duration(random.IntN(400)) * time.Millisecond)
			region := regions[random.IntN(len(regions))]
			place := savorystep.Place{Region: region, Zone: savorystep.Zone(region + "-a")}
			switch random.IntN(10) {
			case 0, 1:
				version++
				table.Put(now, savorystep.Endpoint{
					ID: savorystep.EndpointID(fmt.Sprint("e", random.IntN(16))), Service: "s", State: savorystep.StateLive, Place: place,
					Address: savorystep.Address(fmt.Sprint(version)), Slots: 1, StartedAtMillis: int64(version), WrittenVersion: version, ReportSequence: 1, //nolint:gosec // Versions are small.
					ColdRemaining: time.Duration(random.IntN(2)) * time.Second,
				})
			case 2:
				if random.IntN(4) == 0 {
					table.Evacuate(place.Zone)
				} else {
					table.EndEvacuation(now, place.Zone)
				}
			case 3, 4:
				if len(pending) > 0 {
					outcomes := []endpoint.Outcome{endpoint.OutcomeAnswered, endpoint.OutcomeFailed, endpoint.OutcomeShed, endpoint.OutcomeBrokenResponse}
					table.Finish(now, pending[0], outcomes[random.IntN(len(outcomes))], nil)
					pending = pending[1:]
				}
			default:
				homes := regions[:1+random.IntN(2)]
				query := endpoint.Query{Service: "s", AffinityKey: random.Uint64N(8), Local: place, AllowedRegions: homes, PreferLocal: random.IntN(2) == 0}
				if len(pending) > 0 {
					query.AttemptedEndpoints = []savorystep.EndpointID{pending[0].Endpoint.ID}
				}
				choice, ok := table.Choose(now, query)
				if !ok {
					continue
				}
				reasons[choice.Reason]++
				if random.IntN(8) == 0 {
					table.RecordRateLimit(now, choice, endpoint.RateLimitStatement{IsLimited: true, Rate: 1})
				}
				if choice.IsRateLimited {
					rateLimited++
				}
				pending = append(pending, choice)
				if !slices.Contains(homes, choice.Endpoint.Place.Region) {
					t.Fatalf("seed %d: request bound to %v goes to endpoint %s in region %s, reason %s", seed, homes, choice.Endpoint.ID, choice.Endpoint.Place.Region, choice.Reason)
				}
			}
		}
	}
	if rateLimited == 0 {
		t.Error("no endpoint with a rate limit was chosen")
	}
	for _, reason := range []endpoint.Reason{endpoint.ReasonPrimary, endpoint.ReasonOverflow, endpoint.ReasonNonAffinity, endpoint.ReasonCold} {
		if reasons[reason] == 0 {
			t.Errorf("no endpoint was chosen for reason %s", reason)
		}
	}
}
