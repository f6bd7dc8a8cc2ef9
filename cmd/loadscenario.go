package cmd

import (
	"context"
	"time"

	"savorystep"
	"savorystep/operator"
	"savorystep/standin"
)

// A loadScenario is the name of a fault or change that occurs during a load.
type loadScenario string

// The scenarios of the load command.
const (
	scenarioCalm     loadScenario = "calm"
	scenarioDrain    loadScenario = "drain"
	scenarioKill     loadScenario = "kill"
	scenarioOutage   loadScenario = "outage"
	scenarioOverload loadScenario = "overload"
	scenarioQuiet    loadScenario = "quiet"
)

// loadScenarios lists the valid scenarios.
var loadScenarios = []loadScenario{
	scenarioCalm, scenarioDrain, scenarioKill, scenarioOutage, scenarioOverload, scenarioQuiet,
}

// run starts the fault or change after a third of the duration of the load.
func (scenario loadScenario) run(ctx context.Context, s *site, loadDuration time.Duration, report *loadReport) error {
	if !savorystep.Sleep(ctx, loadDuration/3) {
		return nil
	}
	switch scenario {
	case scenarioCalm, scenarioOverload:
	case scenarioDrain:
		return drainSite(ctx, s, report)
	case scenarioKill:
		s.entries[0].Kill()
	case scenarioOutage:
		s.platform.SetFaults(standin.PlatformFaults{Down: true})
	case scenarioQuiet:
		for _, u := range s.upstreams {
			u.SetFaults(standin.UpstreamFaults{HangLoadPage: true})
		}
		s.platform.SetFaults(standin.PlatformFaults{FreezeLists: true})
	}
	return nil
}

// drainSite drains the region that the shape of the site names, and records in the
// report when it requested the drain.
func drainSite(ctx context.Context, s *site, report *loadReport) error {
	growthPerSecond := 20
	report.drainRequestedAt = time.Now()
	_, err := s.newOperatorClient().Drain(ctx, operator.DrainRequest{
		ChangeInfo:      operator.ChangeInfo{ID: operator.NewChangeID(), Author: "load"},
		Region:          s.config.Shape.DrainedRegion,
		GrowthPerSecond: &growthPerSecond,
	})
	return err
}

// regionSlots returns the number of slots of a service in a region.
func regionSlots(shape standin.Shape, service standin.ServiceShape, region savorystep.Region) int {
	slots := 0
	for _, endpoint := range shape.Endpoints(service) {
		if endpoint.Place.Region == region {
			slots += int(endpoint.Slots)
		}
	}
	return slots
}
