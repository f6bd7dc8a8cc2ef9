package operator

import (
	"context"
	"time"

	"savorystep"
)

// Correct adds a name, usually a misspelling, to the aliases of a service.
func (e *configEditor) Correct(ctx context.Context, request CorrectRequest) (*Outcome, error) {
	if !isName(string(request.Name)) {
		return nil, savorystep.NewError(savorystep.KindBadRequest, "%q is not a valid name; allowed: %s", request.Name, allowedName)
	}
	return e.editRecord(ctx, request.ChangeInfo, request.Service, func(record *savorystep.Record) (*savorystep.Record, error) {
		if request.Name == savorystep.Name(request.Service) {
			return record, nil
		}
		return withAlias(record, request.Name), nil
	})
}

// editRecord replaces the record of a service by the result of a function. After a
// version conflict it retries with the newer record.
func (e *configEditor) editRecord(ctx context.Context, info ChangeInfo, service savorystep.Service, modify func(*savorystep.Record) (*savorystep.Record, error)) (*Outcome, error) {
	for attempt := 1; ; attempt++ {
		view := e.config.View()
		record := view.Records[service]
		if record == nil {
			err := savorystep.NewError(savorystep.KindNotFound, "service %s has no record", service)
			err.Suggestions = savorystep.NearestServices(savorystep.Name(service), view)
			return nil, err
		}
		changed, err := modify(record)
		if err != nil {
			return nil, err
		}
		baseRevision := view.RecordRevisions[service]
		outcome, err := e.replace(ctx, info, service, baseRevision, changed)
		if savorystep.KindOf(err) != savorystep.KindVersionConflict || attempt == maxConflictAttempts {
			return outcome, err
		}
		if !e.waitForOtherRevision(ctx, service, baseRevision) {
			return nil, err
		}
	}
}

// waitForOtherRevision waits until the record of a service in force at this instance has
// another revision than the given one. It reports false if that takes longer than
// conflictTimeout or ctx ends first.
func (e *configEditor) waitForOtherRevision(ctx context.Context, service savorystep.Service, revision savorystep.Revision) bool {
	ctx, cancel := context.WithTimeout(ctx, conflictTimeout)
	defer cancel()
	ticker := time.NewTicker(viewPollInterval)
	defer ticker.Stop()
	for e.config.View().RecordRevisions[service] == revision {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
	return true
}
