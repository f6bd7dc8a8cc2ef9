package operator

import (
	"context"
	"fmt"
	"maps"
	"slices"

	"savorystep"
)

// Drain moves the traffic of a region elsewhere, one service after another. A
// service whose change fails has the reason in its outcome; the others are
// drained all the same.
func (s *steering) Drain(ctx context.Context, request DrainRequest) ([]Outcome, error) {
	services, err := s.drained(request)
	if err != nil {
		return nil, err
	}
	outcomes := make([]Outcome, 0, len(services))
	for _, service := range services {
		info := request.ChangeInfo
		// Each service is a change of its own and needs an ID of its own.
		info.ID += savorystep.ChangeID("/" + service)
		outcome, err := s.edit(ctx, info, service, func(record *savorystep.Record) (*savorystep.Record, error) {
			if request.EndDrain {
				return withoutDrain(record, request.Region), nil
			}
			return withDrain(record, drain{region: request.Region, to: request.TargetRegions, limit: request.Cap, growth: request.GrowthPerSecond})
		})
		if err != nil {
			outcome = &Outcome{Service: service, Error: err.Error()}
		}
		outcomes = append(outcomes, *outcome)
		if outcome.Revision > 0 && !outcome.Unchanged {
			s.record(drainEvent(request, outcome))
		}
	}
	return outcomes, nil
}

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

// drained returns the services that a drain changes.
func (s *steering) drained(request DrainRequest) ([]savorystep.Service, error) {
	if err := s.knownRegions(append([]savorystep.Region{request.Region}, request.TargetRegions...)...); err != nil {
		return nil, err
	}
	if slices.Contains(request.TargetRegions, request.Region) {
		return nil, savorystep.NewError(savorystep.KindBadRequest, "region %s cannot take its own traffic", request.Region)
	}
	view := s.config.View()
	services := request.Services
	if len(services) == 0 {
		for _, service := range slices.Sorted(maps.Keys(view.Records)) {
			if uses(view.Records[service], request.Region) && (!request.EndDrain || isSource(view.Records[service], request.Region)) {
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
