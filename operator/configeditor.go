package operator

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"savorystep"
)

const (
	// maxConflictAttempts bounds the attempts to apply a change that the server computes
	// from the current record. There are few operators, so this many conflicts in a row
	// indicate a bug.
	maxConflictAttempts = 5
	// conflictTimeout bounds the wait after a conflict until this instance has the newer
	// revision of the record. Instances poll the configuration about once a second.
	conflictTimeout = 2 * time.Second
	// viewPollInterval is the interval at which a waiting request checks the
	// configuration in force and the members, which are in memory.
	viewPollInterval = 50 * time.Millisecond
	// maxHistorySearch bounds the changes of a service among which a revision is searched.
	maxHistorySearch = 1000
)

// A ConfigEditor changes the steering configuration. Its errors have a kind, which
// savorystep.KindOf returns.
type ConfigEditor interface {
	Apply(ctx context.Context, request ApplyRequest) (*Outcome, error)
	Undo(ctx context.Context, request UndoRequest) (*Outcome, error)
	Shift(ctx context.Context, request ShiftRequest) (*Outcome, error)
	Drain(ctx context.Context, request DrainRequest) ([]Outcome, error)
	Correct(ctx context.Context, request CorrectRequest) (*Outcome, error)
}

var _ ConfigEditor = &configEditor{}

// A configEditor is the ConfigEditor of the server. It validates changes, computes their
// records and applies them to a configuration.
type configEditor struct {
	clock     savorystep.Clock
	config    savorystep.Config
	dryRun    bool
	endpoints savorystep.Endpoints
	members   savorystep.Members
	// recordEvent adds an event to the timeline.
	recordEvent func(savorystep.Event)
}

// Apply replaces or creates the record of a service.
func (e *configEditor) Apply(ctx context.Context, request ApplyRequest) (*Outcome, error) {
	if request.Record == nil {
		return nil, savorystep.NewError(savorystep.KindBadRequest, "the request has no record")
	}
	return e.replaceWithoutRetry(ctx, request.ChangeInfo, request.Record.Service, request.BaseRevision, request.Record)
}

// Undo restores the record of a service at an earlier revision.
func (e *configEditor) Undo(ctx context.Context, request UndoRequest) (*Outcome, error) {
	var record *savorystep.Record
	if request.TargetRevision != 0 {
		target, err := e.changeAt(ctx, request.Service, request.TargetRevision)
		if err != nil {
			return nil, err
		}
		record = target.Record
	}
	return e.replaceWithoutRetry(ctx, request.ChangeInfo, request.Service, request.BaseRevision, record)
}

// A conflictError is an error of kind KindVersionConflict with the current revision of
// the record.
type conflictError struct {
	error

	currentRevision savorystep.Revision
}

// Unwrap returns the wrapped error, which has the kind.
func (c *conflictError) Unwrap() error {
	return c.error
}

// replaceWithoutRetry replaces a record at the base revision that the operator gave. On a
// conflict it waits, at most for conflictTimeout, until this instance has the newer
// revision of the record, and returns a conflictError with the revision in force.
func (e *configEditor) replaceWithoutRetry(ctx context.Context, info ChangeInfo, service savorystep.Service, baseRevision savorystep.Revision, record *savorystep.Record) (*Outcome, error) {
	outcome, err := e.replace(ctx, info, service, baseRevision, record)
	if savorystep.KindOf(err) != savorystep.KindVersionConflict {
		return outcome, err
	}
	e.waitForOtherRevision(ctx, service, baseRevision)
	current := e.config.View().RecordRevisions[service]
	return nil, &conflictError{
		error:           savorystep.NewError(savorystep.KindVersionConflict, "record %s is at version %d, not %d", service, current, baseRevision),
		currentRevision: current,
	}
}

// changeAt returns the change of a service with the given revision.
func (e *configEditor) changeAt(ctx context.Context, service savorystep.Service, revision savorystep.Revision) (*savorystep.Change, error) {
	changes, err := e.config.History(ctx, service, maxHistorySearch)
	if err != nil {
		return nil, err
	}
	for i := range changes {
		if changes[i].Revision == revision {
			return &changes[i], nil
		}
	}
	return nil, savorystep.NewError(savorystep.KindNotFound, "service %s has no version %d", service, revision)
}

// Shift sets the shift of a service between two regions.
func (e *configEditor) Shift(ctx context.Context, request ShiftRequest) (*Outcome, error) {
	if err := e.checkRegionsKnown(request.From, request.To); err != nil {
		return nil, err
	}
	outcome, err := e.editRecord(ctx, request.ChangeInfo, request.Service, func(record *savorystep.Record) (*savorystep.Record, error) {
		shift := withShiftLimits(record, savorystep.Shift{From: request.From, To: request.To, Percent: request.Percent}, request.Cap, request.GrowthPerSecond)
		return withShift(record, shift), nil
	})
	if err == nil && !outcome.Unchanged {
		e.recordEvent(savorystep.Event{
			Kind: savorystep.EventShift, Service: request.Service, Region: request.From,
			Text: fmt.Sprintf("%s shifts %d percent from %s to %s with revision %d", authorName(request.Author), request.Percent, request.From, request.To, outcome.Revision),
		})
	}
	return outcome, err
}

// authorName returns the author of a change for the texts of events.
func authorName(author string) string {
	if author == "" {
		return "an operator"
	}
	return "operator " + author
}

// replace validates a record and applies a change that replaces the one at the base
// revision. A nil record removes the service. If the record at the base revision has the
// same content already, there is no change.
func (e *configEditor) replace(ctx context.Context, info ChangeInfo, service savorystep.Service, baseRevision savorystep.Revision, record *savorystep.Record) (*Outcome, error) {
	if info.ID == "" {
		return nil, savorystep.NewError(savorystep.KindBadRequest, "the change has no id")
	}
	view := e.config.View()
	current := view.Records[service]
	if record != nil {
		if err := ValidateRecord(record); err != nil {
			return nil, err
		}
		if err := checkNameOwners(view, record); err != nil {
			return nil, err
		}
	}
	now := e.clock.Now()
	if view.RecordRevisions[service] == baseRevision && equalRecords(current, record) {
		return e.unchangedOutcome(ctx, info, service, baseRevision)
	}
	outcome := &Outcome{Service: service, BaseRevision: baseRevision, DryRun: e.dryRun}
	record = withGrowthStarts(record, current, now)
	diff, err := DiffRecords(current, record, revisionLabel(service, view.RecordRevisions[service]), proposalLabel(service, record))
	if err != nil {
		return nil, err
	}
	outcome.Diff = diff
	outcome.Warnings = e.warnings(record, now)
	outcome.Revision, err = e.config.Apply(ctx, savorystep.Change{
		ID: info.ID, Author: info.Author, Note: info.Note, Time: now.Round(0).UTC(),
		Service: service, BaseRevision: baseRevision, Record: record,
	})
	if err != nil {
		return nil, err
	}
	return outcome, nil
}

// unchangedOutcome returns the outcome of a change whose record is in force already. If
// the record is the result of the same change ID, because the response to an earlier
// attempt was lost, it returns the outcome of that attempt.
func (e *configEditor) unchangedOutcome(ctx context.Context, info ChangeInfo, service savorystep.Service, revision savorystep.Revision) (*Outcome, error) {
	outcome := &Outcome{Service: service, BaseRevision: revision, Revision: revision, Unchanged: true, DryRun: e.dryRun}
	changes, err := e.config.History(ctx, service, 2)
	if err != nil {
		// Without the history the outcome is still correct, but a repeated change is
		// reported as unchanged.
		log.Debugf("read history of service %s: %v", service, err)
		changes = nil
	}
	if len(changes) == 0 || changes[0].ID != info.ID {
		return outcome, nil
	}
	earlier := changes[0]
	outcome.Unchanged, outcome.BaseRevision, outcome.Revision = false, earlier.BaseRevision, earlier.Revision
	var replaced *savorystep.Record
	if len(changes) > 1 {
		replaced = changes[1].Record
	}
	outcome.Diff, err = DiffRecords(replaced, earlier.Record, revisionLabel(service, earlier.BaseRevision), proposalLabel(service, earlier.Record))
	return outcome, err
}

// revisionLabel returns the heading of a record at a revision in diffs.
func revisionLabel(service savorystep.Service, revision savorystep.Revision) string {
	if revision == 0 {
		return string(service) + " (none)"
	}
	return fmt.Sprintf("%s (version %d)", service, revision)
}

// proposalLabel returns the heading of a proposed record in diffs.
func proposalLabel(service savorystep.Service, record *savorystep.Record) string {
	if record == nil {
		return string(service) + " (removed)"
	}
	return string(service) + " (new)"
}

// checkNameOwners returns an error if a name of the record belongs to another service.
func checkNameOwners(view *savorystep.View, record *savorystep.Record) error {
	names := append([]savorystep.Name{savorystep.Name(record.Service)}, record.Aliases...)
	for _, name := range names {
		if owner, ok := view.ServicesByName[name]; ok && owner != record.Service {
			return savorystep.NewError(savorystep.KindBadRequest, "name %q already belongs to service %s", name, owner)
		}
	}
	return nil
}

// checkRegionsKnown returns an error for a region that has neither a share in any record
// nor an instance, and is therefore probably misspelled.
func (e *configEditor) checkRegionsKnown(regions ...savorystep.Region) error {
	known := map[savorystep.Region]bool{}
	for _, record := range e.config.View().Records {
		for _, region := range shareRegions(record) {
			known[region] = true
		}
	}
	for _, member := range e.members.Members(e.clock.Now()) {
		known[member.Instance.Place.Region] = true
	}
	for _, region := range regions {
		if !known[region] {
			return savorystep.NewError(savorystep.KindBadRequest, "unknown region %q; allowed: %s", region, joinStrings(slices.Sorted(maps.Keys(known))))
		}
	}
	return nil
}

// warnings returns messages about parts of a valid record that may be unintended: limits
// of regions without traffic, and shifts of more requests than their target regions have
// free slots now.
func (e *configEditor) warnings(record *savorystep.Record, now time.Time) []string {
	if record == nil {
		return nil
	}
	var texts []string
	for _, region := range slices.Sorted(maps.Keys(record.InFlightLimits)) {
		if !hasShare(record, region) && !isShiftTarget(record, region) {
			texts = append(texts, fmt.Sprintf("the limit of region %s has no effect; no share or shift leads there", region))
		}
	}
	if e.endpoints == nil || len(record.Shifts) == 0 {
		return texts
	}
	loads := map[savorystep.Region]savorystep.RegionLoad{}
	for _, load := range e.endpoints.RegionLoads(record.Service, now) {
		loads[load.Region] = load
	}
	shiftedIn := map[savorystep.Region]int{}
	for _, shift := range record.Shifts {
		n := int(loads[shift.From].UsedSlots) * shift.Percent / maxPercent
		if shift.Cap > 0 {
			n = min(n, int(shift.Cap))
		}
		shiftedIn[shift.To] += n
	}
	for _, to := range slices.Sorted(maps.Keys(shiftedIn)) {
		if free := max(int(loads[to].Slots-loads[to].UsedSlots), 0); shiftedIn[to] > free {
			texts = append(texts, fmt.Sprintf("the shifts would move about %d requests in flight to %s now, which has %d free slots; the rest would be refused", shiftedIn[to], to, free))
		}
	}
	return texts
}
