package store

import (
	"context"
	"time"

	"savorystep"
)

const (
	// logEraRowKey is the key of the row that says in which era no instance has
	// changes any more that the table has lost.
	logEraRowKey savorystep.RowKey = "logera"
	// logRestoreWindow is how long after an instance noticed a restore of the table it
	// accepts no change. It is several polls, in which others write lost changes again.
	logRestoreWindow = 5 * time.Second
	// maxLogSilence is the silence of the table that begins the window anew. It is
	// longer than the time between two polls within the window.
	maxLogSilence = 10 * time.Second
	// maxRewrittenChanges bounds the changes that one transaction writes again.
	maxRewrittenChanges = 64
)

// errRestoring means that changes have to wait for the end of a restore of the table.
var errRestoring = savorystep.NewError(savorystep.KindPlatformDown, "the table was restored and may lack changes that are in force")

// errBehind means that the head of the table is below the revision in force.
var errBehind = savorystep.NewError(savorystep.KindPlatformDown, "the head of the table is below the revision in force")

// reconcile compares the changes in force with the table, which is in a later era than
// the one in which they were read, and returns its head. It writes the changes again
// that the table has lost. If the table has other changes in their place, those replace
// the configuration in force.
func (l *Log) reconcile(ctx context.Context, row savorystep.Row, head savorystep.Revision) (savorystep.Revision, error) {
	own := l.state.recentChanges(l.View().Revision)
	agrees, err := l.hasChanges(ctx, own, head)
	if err != nil {
		return 0, err
	}
	lost := changesAfter(own, head)
	isComplete := len(lost) == 0 && l.View().Revision <= head || len(lost) > 0 && lost[0].Revision == head+1
	switch {
	case agrees && isComplete:
		if err := l.rewrite(ctx, row, lost); err != nil {
			return 0, err
		}
	case agrees && l.guard.isOpen():
		return 0, errRestoring // Another instance may have the changes in between.
	default:
		log.Errorf("the table in era %d has other changes up to revision %d than are in force at revision %d", row.Era, head, l.View().Revision)
		if err := l.reload(ctx); err != nil {
			return 0, err
		}
	}
	l.reconciledEra.Store(uint32(row.Era.OrFirst()))
	return max(head, l.View().Revision), nil
}

// changesAfter returns the changes after a revision.
func changesAfter(changes []savorystep.Change, revision savorystep.Revision) []savorystep.Change {
	for i := range changes {
		if changes[i].Revision > revision {
			return changes[i:]
		}
	}
	return nil
}

// hasChanges reports whether the table has the last of the changes up to its head.
func (l *Log) hasChanges(ctx context.Context, changes []savorystep.Change, head savorystep.Revision) (bool, error) {
	changes = changes[:len(changes)-len(changesAfter(changes, head))]
	changes = changes[max(0, len(changes)-pageSize):]
	if len(changes) == 0 {
		return true, nil
	}
	stored, err := l.scanChanges(ctx, changes[0].Revision-1, changes[len(changes)-1].Revision)
	if err != nil {
		return false, err
	}
	for i := range changes {
		if stored[i].ID != changes[i].ID {
			return false, nil
		}
	}
	return true, nil
}

// rewrite writes changes again that follow the head of the table.
func (l *Log) rewrite(ctx context.Context, head savorystep.Row, lost []savorystep.Change) error {
	for len(lost) > 0 {
		changes := lost[:min(len(lost), maxRewrittenChanges)]
		commit, err := l.config.Table.Commit(ctx, rewriteTxn(head, changes))
		if err != nil {
			return err
		}
		if commit.Version == 0 {
			return errRestoring // Another instance writes them.
		}
		log.Infof("wrote the revisions %d to %d again that the restored table had lost", changes[0].Revision, changes[len(changes)-1].Revision)
		head.Version, lost = commit.Version, lost[len(changes):]
	}
	return nil
}

// rewriteTxn returns the transaction that writes changes again after the head.
func rewriteTxn(head savorystep.Row, changes []savorystep.Change) savorystep.Txn {
	txn := savorystep.Txn{
		Conditions: []savorystep.Condition{{Key: head.Key, Version: head.Version}},
		Era:        head.Era.OrFirst(),
	}
	records := make(map[savorystep.Service][]byte)
	for _, change := range changes {
		value := encodeJSON(change)
		records[change.Service] = value
		txn.Writes = append(txn.Writes,
			savorystep.Write{Key: changeKey(change.Revision), Value: value},
			savorystep.Write{Key: changeIDKey(change.ID), Value: encodeJSON(revisionRow{Revision: change.Revision})})
	}
	for service, value := range records {
		txn.Writes = append(txn.Writes, savorystep.Write{Key: recordKey(service), Value: value})
	}
	last := revisionRow{Revision: changes[len(changes)-1].Revision}
	txn.Writes = append(txn.Writes, savorystep.Write{Key: head.Key, Value: encodeJSON(last)})
	return txn
}

// reload replaces the configuration in force by that of the table.
func (l *Log) reload(ctx context.Context) error {
	changes, err := l.readRecords(ctx)
	if err != nil {
		return err
	}
	l.state.replace(changes)
	l.recordEvent(savorystep.EventForce, "", "revision %d of the restored table is in force", l.View().Revision)
	return nil
}

// isReconciled reports whether the configuration in force is that of the table in an
// era and no other instance has changes that it lacks.
func (l *Log) isReconciled(era savorystep.StoreEra) bool {
	return savorystep.StoreEra(l.reconciledEra.Load()) == era.OrFirst() && !l.guard.isOpen()
}

// followEra records the end of the restore window of the present era, or reads whether
// it is over at another instance.
func (l *Log) followEra(ctx context.Context) {
	select {
	case <-l.guard.laterEra:
		log.Infof("table is in era %d, changes wait for the end of its restore", l.guard.current())
		_ = l.marker.read(ctx) // Without the marker the window ends by its time.
	default:
	}
	if era := l.guard.current(); era > l.markedEra && l.isReconciled(era) && l.marker.write(ctx, era) {
		l.markedEra = era
	}
}
