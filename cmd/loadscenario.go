package cmd

import (
	"context"
	"time"

	"savorystep"
	"savorystep/operator"
	"savorystep/standin"
)

// A loadScenario is what happens during a load.
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

// loadScenarios lists the scenarios for the help text and checks.
var loadScenarios = []loadScenario{
	scenarioCalm, scenarioDrain, scenarioKill, scenarioOutage, scenarioOverload, scenarioQuiet,
}

// run makes the scenario happen: at a third of the load's length it begins.
func (s loadScenario) run(ctx context.Context, on *site, length time.Duration, report *loadReport) error {
	if !savorystep.Sleep(ctx, length/3) {
		return nil
	}
	switch s {
	case scenarioCalm, scenarioOverload:
	case scenarioDrain:
		return drainSite(ctx, on, report)
	case scenarioKill:
		on.entries[0].Kill()
	case scenarioOutage:
		on.platform.SetFaults(standin.PlatformFaults{Down: true})
	case scenarioQuiet:
		for _, u := range on.upstreams {
			u.SetFaults(standin.UpstreamFaults{HangLoadPage: true})
		}
		on.platform.SetFaults(standin.PlatformFaults{FreezeLists: true})
	}
	return nil
}

// drainSite drains the site's region and notes the time.
func drainSite(ctx context.Context, on *site, report *loadReport) error {
	growth := 20
	report.drainOrderedAt = time.Now()
	_, err := on.newOperatorClient().Drain(ctx, operator.DrainRequest{
		ChangeInfo:      operator.ChangeInfo{ID: operator.NewChangeID(), Author: "load"},
		Region:          on.config.Shape.DrainedRegion,
		GrowthPerSecond: &growth,
	})
	return err
}

// regionSlots counts the slots of a service in a region.
func regionSlots(shape standin.Shape, service standin.ServiceShape, region savorystep.Region) int {
	slots := 0
	for _, endpoint := range shape.Endpoints(service) {
		if endpoint.Place.Region == region {
			slots += int(endpoint.Slots)
		}
	}
	return slots
}
