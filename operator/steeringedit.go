package operator

import (
	"context"
	"time"

	"savorystep"
)

// Correct makes a misspelling lead to a service.
func (s *steering) Correct(ctx context.Context, request CorrectRequest) (*Outcome, error) {
	if !isName(string(request.Name)) {
		return nil, savorystep.NewError(savorystep.KindBadRequest, "%q is not a name; allowed: %s", request.Name, allowedName)
	}
	return s.edit(ctx, request.ChangeInfo, request.Service, func(record *savorystep.Record) (*savorystep.Record, error) {
		if request.Name == savorystep.Name(request.Service) {
			return record, nil
		}
		return withName(record, request.Name), nil
	})
}

// edit changes the record of a service by a function, again on the newer
// record after a version conflict.
func (s *steering) edit(ctx context.Context, info ChangeInfo, service savorystep.Service, change func(*savorystep.Record) (*savorystep.Record, error)) (*Outcome, error) {
	for attempt := 1; ; attempt++ {
		view := s.config.View()
		record := view.Records[service]
		if record == nil {
			err := savorystep.NewError(savorystep.KindNotFound, "service %s has no record", service)
			err.Suggestions = savorystep.NearestServices(savorystep.Name(service), view)
			return nil, err
		}
		changed, err := change(record)
		if err != nil {
			return nil, err
		}
		base := view.RecordRevisions[service]
		outcome, err := s.replace(ctx, info, service, base, changed)
		if savorystep.KindOf(err) != savorystep.KindVersionConflict || attempt == maxConflicts {
			return outcome, err
		}
		if !s.awaitVersion(ctx, service, base) {
			return nil, err
		}
	}
}

// awaitVersion waits until the instance's copy of a record is no longer at a
// version, and reports whether it is.
func (s *steering) awaitVersion(ctx context.Context, service savorystep.Service, version savorystep.Revision) bool {
	ctx, cancel := context.WithTimeout(ctx, conflictWait)
	defer cancel()
	ticker := time.NewTicker(viewPoll)
	defer ticker.Stop()
	for s.config.View().RecordRevisions[service] == version {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
	return true
}
