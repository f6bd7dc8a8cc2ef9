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
	// maxConflicts is how often a change that the server computes itself is
	// tried again. Operators are few, so more conflicts in a row point to a
	// fault.
	maxConflicts = 5
	// conflictWait bounds the wait for the instance's copy to catch up after a
	// conflict; polls of the configuration take about a second.
	conflictWait = 2 * time.Second
	// viewPoll is the interval at which in-memory state is looked at while a
	// request waits for it.
	viewPoll = 50 * time.Millisecond
	// historyDepth is how far back versions are looked up.
	historyDepth = 1000
)

// ConfigEditor makes changes of the configuration. Errors have a kind.
type ConfigEditor interface {
	Apply(ctx context.Context, request ApplyRequest) (*Outcome, error)
	Undo(ctx context.Context, request UndoRequest) (*Outcome, error)
	Shift(ctx context.Context, request ShiftRequest) (*Outcome, error)
	Drain(ctx context.Context, request DrainRequest) ([]Outcome, error)
	Correct(ctx context.Context, request CorrectRequest) (*Outcome, error)
}

var _ ConfigEditor = &steering{}

// A steering makes changes on a configuration.
type steering struct {
	clock     savorystep.Clock
	config    savorystep.Config
	dry       bool
	endpoints savorystep.Endpoints
	members   savorystep.Members
	// record keeps an event of the timeline.
	record func(savorystep.Event)
}

// Apply replaces a record.
func (s *steering) Apply(ctx context.Context, request ApplyRequest) (*Outcome, error) {
	if request.Record == nil {
		return nil, savorystep.NewError(savorystep.KindBadRequest, "the request has no record")
	}
	return s.replaceOnce(ctx, request.ChangeInfo, request.Record.Service, request.BaseRevision, request.Record)
}

// Undo restores an old record.
func (s *steering) Undo(ctx context.Context, request UndoRequest) (*Outcome, error) {
	var record *savorystep.Record
	if request.TargetRevision != 0 {
		old, err := s.version(ctx, request.Service, request.TargetRevision)
		if err != nil {
			return nil, err
		}
		record = old.Record
	}
	return s.replaceOnce(ctx, request.ChangeInfo, request.Service, request.BaseRevision, record)
}

// A conflictError is an error of kind KindVersionConflict that tells the
// record's current version.
type conflictError struct {
	error

	current savorystep.Revision
}

// Unwrap returns the error with its kind.
func (v *conflictError) Unwrap() error {
	return v.error
}

// replaceOnce proposes a record with the operator's own base. A conflict is
// answered with the current version, for which the instance's copy may have to
// catch up first.
func (s *steering) replaceOnce(ctx context.Context, info ChangeInfo, service savorystep.Service, base savorystep.Revision, record *savorystep.Record) (*Outcome, error) {
	outcome, err := s.replace(ctx, info, service, base, record)
	if savorystep.KindOf(err) != savorystep.KindVersionConflict {
		return outcome, err
	}
	s.awaitVersion(ctx, service, base)
	current := s.config.View().RecordRevisions[service]
	return nil, &conflictError{
		error:   savorystep.NewError(savorystep.KindVersionConflict, "record %s is at version %d, not %d", service, current, base),
		current: current,
	}
}

// version returns the change that made a version of a record.
func (s *steering) version(ctx context.Context, service savorystep.Service, revision savorystep.Revision) (*savorystep.Change, error) {
	changes, err := s.config.History(ctx, service, historyDepth)
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

// Shift sets a shift.
func (s *steering) Shift(ctx context.Context, request ShiftRequest) (*Outcome, error) {
	if err := s.knownRegions(request.From, request.To); err != nil {
		return nil, err
	}
	outcome, err := s.edit(ctx, request.ChangeInfo, request.Service, func(record *savorystep.Record) (*savorystep.Record, error) {
		shift := withLimits(record, savorystep.Shift{From: request.From, To: request.To, Percent: request.Percent}, request.Cap, request.GrowthPerSecond)
		return withShift(record, shift), nil
	})
	if err == nil && !outcome.Unchanged {
		s.record(savorystep.Event{
			Kind: savorystep.EventShift, Service: request.Service, Region: request.From,
			Text: fmt.Sprintf("%s shifts %d percent from %s to %s with revision %d", authorName(request.Author), request.Percent, request.From, request.To, outcome.Revision),
		})
	}
	return outcome, err
}

// authorName names the author of a change in events.
func authorName(author string) string {
	if author == "" {
		return "an operator"
	}
	return "operator " + author
}

// replace proposes a record, nil to remove the service.
func (s *steering) replace(ctx context.Context, info ChangeInfo, service savorystep.Service, base savorystep.Revision, record *savorystep.Record) (*Outcome, error) {
	if info.ID == "" {
		return nil, savorystep.NewError(savorystep.KindBadRequest, "the change has no id")
	}
	view := s.config.View()
	current := view.Records[service]
	if record != nil {
		if err := ValidateRecord(record); err != nil {
			return nil, err
		}
		if err := checkOtherServices(view, record); err != nil {
			return nil, err
		}
	}
	now := s.clock.Now()
	if view.RecordRevisions[service] == base && sameRecord(current, record) {
		return s.unchanged(ctx, info, service, base)
	}
	outcome := &Outcome{Service: service, BaseRevision: base, DryRun: s.dry}
	record = withStarts(record, current, now)
	diff, err := DiffRecords(current, record, versionName(service, view.RecordRevisions[service]), newName(service, record))
	if err != nil {
		return nil, err
	}
	outcome.Diff = diff
	outcome.Warnings = s.warnings(record, now)
	outcome.Revision, err = s.config.Apply(ctx, savorystep.Change{
		ID: info.ID, Author: info.Author, Note: info.Note, Time: now.Round(0).UTC(),
		Service: service, BaseRevision: base, Record: record,
	})
	if err != nil {
		return nil, err
	}
	return outcome, nil
}

// unchanged returns the outcome for a record that says already what it should.
// If the change itself made it so, because its first answer was lost, the
// outcome is that of the change.
func (s *steering) unchanged(ctx context.Context, info ChangeInfo, service savorystep.Service, version savorystep.Revision) (*Outcome, error) {
	outcome := &Outcome{Service: service, BaseRevision: version, Revision: version, Unchanged: true, DryRun: s.dry}
	changes, err := s.config.History(ctx, service, 2)
	if err != nil {
		// Without the history the answer is still true, only less exact.
		log.Debugf("history of %s: %v", service, err)
		changes = nil
	}
	if len(changes) == 0 || changes[0].ID != info.ID {
		return outcome, nil
	}
	made := changes[0]
	outcome.Unchanged, outcome.BaseRevision, outcome.Revision = false, made.BaseRevision, made.Revision
	var before *savorystep.Record
	if len(changes) > 1 {
		before = changes[1].Record
	}
	outcome.Diff, err = DiffRecords(before, made.Record, versionName(service, made.BaseRevision), newName(service, made.Record))
	return outcome, err
}

// versionName names a version in diffs.
func versionName(service savorystep.Service, version savorystep.Revision) string {
	if version == 0 {
		return string(service) + " (none)"
	}
	return fmt.Sprintf("%s (version %d)", service, version)
}

// newName names a proposed record in diffs.
func newName(service savorystep.Service, record *savorystep.Record) string {
	if record == nil {
		return string(service) + " (removed)"
	}
	return string(service) + " (new)"
}

// checkOtherServices refuses a record whose names lead to another service.
func checkOtherServices(view *savorystep.View, record *savorystep.Record) error {
	names := append([]savorystep.Name{savorystep.Name(record.Service)}, record.Aliases...)
	for _, name := range names {
		if owner, ok := view.ServicesByName[name]; ok && owner != record.Service {
			return savorystep.NewError(savorystep.KindBadRequest, "name %q leads to service %s already", name, owner)
		}
	}
	return nil
}

// knownRegions refuses regions that no instance and no record knows, which
// are most likely misspelled.
func (s *steering) knownRegions(regions ...savorystep.Region) error {
	known := map[savorystep.Region]bool{}
	for _, record := range s.config.View().Records {
		for _, region := range shareRegions(record) {
			known[region] = true
		}
	}
	for _, member := range s.members.Members(s.clock.Now()) {
		known[member.Instance.Place.Region] = true
	}
	for _, region := range regions {
		if !known[region] {
			return savorystep.NewError(savorystep.KindBadRequest, "region %q is unknown; allowed: %s", region, joinTexts(slices.Sorted(maps.Keys(known))))
		}
	}
	return nil
}

// warnings tells what is allowed but may not be meant: limits of regions that
// get no traffic, and shifts of more than what their targets have free now.
func (s *steering) warnings(record *savorystep.Record, now time.Time) []string {
	if record == nil {
		return nil
	}
	var texts []string
	for _, region := range slices.Sorted(maps.Keys(record.InFlightLimits)) {
		if !hasShare(record, region) && !isTarget(record, region) {
			texts = append(texts, fmt.Sprintf("the limit of region %s has no effect; no share or shift leads there", region))
		}
	}
	if s.endpoints == nil || len(record.Shifts) == 0 {
		return texts
	}
	loads := map[savorystep.Region]savorystep.RegionLoad{}
	for _, load := range s.endpoints.RegionLoads(record.Service, now) {
		loads[load.Region] = load
	}
	moving := map[savorystep.Region]int{}
	for _, shift := range record.Shifts {
		n := int(loads[shift.From].UsedSlots) * shift.Percent / maxPercent
		if shift.Cap > 0 {
			n = min(n, int(shift.Cap))
		}
		moving[shift.To] += n
	}
	for _, to := range slices.Sorted(maps.Keys(moving)) {
		if free := max(int(loads[to].Slots-loads[to].UsedSlots), 0); moving[to] > free {
			texts = append(texts, fmt.Sprintf("the shifts would move about %d requests in flight to %s now, which has %d free slots; the rest would be refused", moving[to], to, free))
		}
	}
	return texts
}
