package store

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"savorystep"
)

const (
	// ageKey is the row that tells how old row versions are.
	ageRowKey savorystep.RowKey = "keyage"
	// ageMarks is the number of marks that cover the retention.
	ageMarkCount = 16
	// sweepPage bounds the memory of a sweep: a page holds at most this many
	// stored answers of DefaultInline.
	sweepPageRows = 64
	// sweepPause keeps a sweep at 50 reads a second, a small part of what the
	// platform takes.
	sweepPageInterval = 20 * time.Millisecond
)

// An ageRow is the value of the row at ageKey. Each mark is the version that
// this row had before a later one was written, the oldest first. A mark is
// added only by an instance that has seen the same version for a sixteenth of
// the retention on its own monotonic clock. With ageMarks marks, all rows with
// versions below the first are therefore older than the retention, whatever the
// wall clocks say.
type ageRow struct {
	Marks []savorystep.RowVersion `cbor:"1,keyasint,omitempty"`
}

// sweep advances the marks and cleans up after each advance of its own, until
// ctx ends.
//
// Rows of attempts without a known outcome are kept forever, because their
// holders may be paused. Objects of stored answers are not deleted: the
// platform's protocol has no way to do it, so their age limit is the
// platform's to set.
func (k *Keys) sweep(ctx context.Context) error {
	markInterval := k.config.Retention / ageMarkCount
	var lastChange seenRow
	for savorystep.Sleep(ctx, markInterval/4) {
		row, err := k.config.Table.Get(ctx, ageRowKey)
		now := k.config.Clock.Now()
		if err != nil {
			continue
		}
		if lastChange.firstSeen.IsZero() || row.Version != lastChange.version {
			lastChange = seenRow{version: row.Version, firstSeen: now}
		}
		if row.Version != 0 && now.Sub(lastChange.firstSeen) < markInterval {
			continue
		}
		versionLimit, err := k.advanceMarks(ctx, row)
		if err != nil {
			log.Warningf("mark the age of keys: %v", err)
			continue
		}
		if versionLimit > 0 {
			k.deleteOldRows(ctx, versionLimit)
		}
	}
	return nil
}

// mark adds a mark. It returns the version below which rows are older than the
// retention, or 0 if there is none or another instance added the mark.
func (k *Keys) advanceMarks(ctx context.Context, row savorystep.Row) (savorystep.RowVersion, error) {
	var age ageRow
	if row.Version != 0 {
		if err := cbor.Unmarshal(row.Value, &age); err != nil {
			return 0, malformedError("age row", "%v", err)
		}
		age.Marks = append(age.Marks, row.Version)
	}
	if excess := len(age.Marks) - ageMarkCount; excess > 0 {
		age.Marks = age.Marks[excess:]
	}
	commit, err := k.config.Table.Commit(ctx, savorystep.Txn{
		Conditions: []savorystep.Condition{{Key: ageRowKey, Version: row.Version}},
		Writes:     []savorystep.Write{{Key: ageRowKey, Value: encodeCBOR(age)}},
	})
	if err != nil || len(commit.Conflicts) > 0 || len(age.Marks) < ageMarkCount {
		return 0, err
	}
	return age.Marks[0], nil
}

// clean deletes the completed and released rows with versions below the limit.
// An error ends it, since a later sweep does the rest.
func (k *Keys) deleteOldRows(ctx context.Context, versionLimit savorystep.RowVersion) {
	after, deleted := savorystep.RowKey(""), 0
	for savorystep.Sleep(ctx, sweepPageInterval) {
		rows, err := k.config.Table.Scan(ctx, keyPrefix, after, sweepPageRows)
		if err != nil || len(rows) == 0 {
			if deleted > 0 {
				log.Infof("deleted %d keys older than %v", deleted, k.config.Retention)
			}
			return
		}
		after = rows[len(rows)-1].Key
		var txn savorystep.Txn
		for _, row := range rows {
			value, err := decodeKeyRow(row)
			if err != nil || value.State == keyPermitted || row.Version >= versionLimit {
				continue
			}
			txn.Conditions = append(txn.Conditions, savorystep.Condition{Key: row.Key, Version: row.Version})
			txn.Writes = append(txn.Writes, savorystep.Write{Key: row.Key, Delete: true})
		}
		if len(txn.Writes) == 0 {
			continue
		}
		// A conflict or an error leaves the page for the next sweep.
		if commit, err := k.config.Table.Commit(ctx, txn); err == nil && len(commit.Conflicts) == 0 {
			deleted += len(txn.Writes)
		}
	}
}
