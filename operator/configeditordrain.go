package operator

import (
	"context"
	"fmt"
	"maps"
	"slices"

	"savorystep"
)

// Drain shifts all traffic of a region to other regions, or ends that, one service after
// another. The outcome of a service whose change fails has the error; the other services
// are changed nevertheless.
func (e *configEditor) Drain(ctx context.Context, request DrainRequest) ([]Outcome, error) {
	services, err := e.servicesToDrain(request)
	if err != nil {
		return nil, err
	}
	outcomes := make([]Outcome, 0, len(services))
	for _, service := range services {
		info := request.ChangeInfo
		// The change of each service needs its own ID.
		info.ID += savorystep.ChangeID("/" + service)
		outcome, err := e.editRecord(ctx, info, service, func(record *savorystep.Record) (*savorystep.Record, error) {
			if request.EndDrain {
				return withoutShiftsFrom(record, request.Region), nil
			}
			return withDrain(record, drainPlan{region: request.Region, targetRegions: request.TargetRegions, inFlightCap: request.Cap, growthPerSecond: request.GrowthPerSecond})
		})
		if err != nil {
			outcome = &Outcome{Service: service, Error: err.Error()}
		}
		outcomes = append(outcomes, *outcome)
		if outcome.Revision > 0 && !outcome.Unchanged {
			e.recordEvent(drainEvent(request, outcome))
		}
	}
	return outcomes, nil
}

// drainEvent returns the event of a drain of one service.
func drainEvent(request DrainRequest, outcome *Outcome) savorystep.Event {
	verb := "drains"
	if request.EndDrain {
		verb = "ends the drain of"
	}
	return savorystep.Event{
		Kind: savorystep.EventDrain, Service: outcome.Service, Region: request.Region,
		Text: fmt.Sprintf("%s %s region %s with revision %d", authorName(request.Author), verb, request.Region, outcome.Revision),
	}
}

// servicesToDrain returns the services that a drain changes: by default those that send
// traffic to the region, or at the end of a drain those that shift traffic out of it. It
// returns an error if there is none or a region is invalid.
func (e *configEditor) servicesToDrain(request DrainRequest) ([]savorystep.Service, error) {
	if err := e.checkRegionsKnown(append([]savorystep.Region{request.Region}, request.TargetRegions...)...); err != nil {
		return nil, err
	}
	if slices.Contains(request.TargetRegions, request.Region) {
		return nil, savorystep.NewError(savorystep.KindBadRequest, "region %s cannot take its own traffic", request.Region)
	}
	view := e.config.View()
	services := request.Services
	if len(services) == 0 {
		for _, service := range slices.Sorted(maps.Keys(view.Records)) {
			if receivesTraffic(view.Records[service], request.Region) && (!request.EndDrain || isShiftSource(view.Records[service], request.Region)) {
				services = append(services, service)
			}
		}
	}
	if len(services) == 0 {
		if request.EndDrain {
			return nil, savorystep.NewError(savorystep.KindNotFound, "no service has a shift out of region %s", request.Region)
		}
		return nil, savorystep.NewError(savorystep.KindNotFound, "no service sends traffic to region %s", request.Region)
	}
	return services, nil
}
