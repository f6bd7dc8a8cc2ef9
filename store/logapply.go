package store

import (
	"context"
	"fmt"
	"time"

	"savorystep"
)

// Apply proposes a change. It retries after a conflict on the head alone, and
// after an unknown outcome finds the change by its ID. Error kinds:
// KindBadRequest, KindVersionConflict, KindNotFound, and KindPlatformDown if
// the outcome is still unknown when ctx ends.
func (l *Log) Apply(ctx context.Context, change savorystep.Change) (savorystep.Revision, error) {
	if err := l.validateProposal(change); err != nil {
		return 0, err
	}
	if change.Time.IsZero() {
		change.Time = l.config.Clock.Now().UTC()
	}
	defer l.proposals.remove(change.ID)
	for failures := 0; ; {
		revision, decided, err := l.tryApply(ctx, change)
		if decided {
			return revision, err
		}
		delay := time.Duration(0) // No delay after a conflict, because another change was accepted.
		if err != nil {
			log.Warningf("apply change %q, trying again: %v", change.ID, err)
			delay = retryDelay(failures)
			failures++
		}
		if !savorystep.Sleep(ctx, delay) {
			return 0, savorystep.WrapError(savorystep.KindPlatformDown, ctx.Err(),
				"the outcome of change %q is unknown, apply it again with the same ID", change.ID)
		}
	}
}

// validateProposal checks what does not depend on the configuration in force.
func (l *Log) validateProposal(change savorystep.Change) error {
	switch {
	case change.ID == "":
		return savorystep.NewError(savorystep.KindBadRequest, "the change has no ID")
	case change.Service == "":
		return savorystep.NewError(savorystep.KindBadRequest, "the change has no service")
	case change.Record != nil && change.Record.Service != change.Service:
		return savorystep.NewError(savorystep.KindBadRequest, "record of %q proposed for service %q", change.Record.Service, change.Service)
	default:
		return nil
	}
}

// proposalRows are the rows that decide whether a change is accepted.
type proposalRows struct {
	head, id, record savorystep.Row
}

// readProposalRows reads the rows that decide whether a change is accepted. The
// head is read first: if the change took effect at or below that head, the row
// of the change's ID shows it.
func (l *Log) readProposalRows(ctx context.Context, change savorystep.Change) (proposalRows, error) {
	var rows proposalRows
	var err error
	if rows.head, err = l.config.Table.Get(ctx, headKey); err != nil {
		return rows, err
	}
	l.guard.observe(rows.head.Era, l.config.Clock.Now())
	if rows.id, err = l.config.Table.Get(ctx, changeIDKey(change.ID)); err != nil {
		return rows, err
	}
	rows.record, err = l.config.Table.Get(ctx, recordKey(change.Service))
	if err == nil && (rows.id.Era != rows.head.Era || rows.record.Era != rows.head.Era) {
		err = errRestoring
	}
	return rows, err
}

// tryApply reads the rows and sends one transaction. If decided is false, the
// change must be tried again; err then holds the failure, or nil after a
// conflict.
func (l *Log) tryApply(
	ctx context.Context, change savorystep.Change,
) (revision savorystep.Revision, decided bool, err error) {
	rows, err := l.readProposalRows(ctx, change)
	if err != nil {
		return 0, false, err
	}
	if !l.isReconciled(rows.head.Era) {
		select {
		case l.pollRequests <- struct{}{}:
		default: // A poll is already requested.
		}
		return 0, false, errRestoring
	}
	if rows.id.Version != 0 {
		// This instance must have an accepted change, to write it again if the table
		// loses it.
		if revision, err = decodeRevision(rows.id); err == nil {
			err = l.catchUp(ctx, revision)
		}
		if err == nil && l.View().Revision < revision {
			err = errRestoring
		}
		return revision, err == nil, err
	}
	head, err := decodeRevision(rows.head)
	if err != nil {
		return 0, false, err
	}
	if err := l.catchUp(ctx, head); err != nil {
		return 0, false, err
	}
	view := l.View()
	if view.Revision > head {
		return 0, false, errBehind // Without a delay, a table that stays behind would be read in a busy loop.
	}
	if err := checkAgainstView(view, l.state.lastChange(change.Service), change); err != nil {
		return 0, true, err
	}
	change.Revision = head + 1
	l.proposals.add(change.ID)
	commit, err := l.config.Table.Commit(ctx, proposalTxn(rows, change))
	if err != nil || commit.Version == 0 {
		return 0, false, err
	}
	l.install([]savorystep.Change{change}, "this instance")
	return change.Revision, true, nil
}

// checkAgainstView rejects a change that does not fit the configuration in
// force.
func checkAgainstView(view *savorystep.View, last savorystep.Change, change savorystep.Change) error {
	currentVersion := view.RecordRevisions[change.Service]
	if change.BaseRevision != currentVersion {
		return savorystep.NewError(savorystep.KindVersionConflict,
			"the record of %s is at version %d, not %d, last changed by %q", change.Service, currentVersion, change.BaseRevision, last.Author)
	}
	if change.Record == nil {
		if currentVersion == 0 {
			return savorystep.NewError(savorystep.KindNotFound, "service %s has no record", change.Service)
		}
		return nil
	}
	names := append([]savorystep.Name{savorystep.Name(change.Service)}, change.Record.Aliases...)
	for _, name := range names {
		if owner, exists := view.ServicesByName[name]; exists && owner != change.Service {
			return savorystep.NewError(savorystep.KindBadRequest, "the name %q belongs to %s", name, owner)
		}
	}
	return nil
}

// proposalTxn returns the transaction that makes a change.
func proposalTxn(rows proposalRows, change savorystep.Change) savorystep.Txn {
	revision := encodeJSON(revisionRow{Revision: change.Revision})
	value := encodeJSON(change)
	return savorystep.Txn{
		Era: rows.head.Era.OrFirst(),
		Conditions: []savorystep.Condition{
			{Key: rows.head.Key, Version: rows.head.Version},
			{Key: rows.id.Key, Version: rows.id.Version},
			{Key: rows.record.Key, Version: rows.record.Version},
		},
		Writes: []savorystep.Write{
			{Key: rows.head.Key, Value: revision},
			{Key: rows.id.Key, Value: revision},
			{Key: rows.record.Key, Value: value},
			{Key: changeKey(change.Revision), Value: value},
		},
	}
}

// recordApplied records that a change was applied if this instance proposed it.
func (l *Log) recordApplied(change savorystep.Change) {
	if l.proposals.remove(change.ID) {
		l.recordEvent(savorystep.EventApply, change.Service, "%s applied revision %d", change.Author, change.Revision)
	}
}

// recordEvent records an event for the timeline.
func (l *Log) recordEvent(kind savorystep.EventKind, service savorystep.Service, format string, args ...any) {
	if l.config.EventRecorder == nil {
		return
	}
	l.config.EventRecorder.Record(savorystep.Event{Kind: kind, Service: service, Text: fmt.Sprintf(format, args...)})
}
