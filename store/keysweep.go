package store

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"savorystep"
)

const (
	// ageRowKey is the key of the row that measures the age of row versions.
	ageRowKey savorystep.RowKey = "keyage"
	// ageMarkCount is the number of marks that cover the retention.
	ageMarkCount = 16
	// sweepPageRows bounds the memory of a sweep: a page holds at most this
	// many stored responses of DefaultMaxInlineBytes.
	sweepPageRows = 64
	// sweepPageInterval limits a sweep to 50 reads per second, a small part of
	// the platform's read rate.
	sweepPageInterval = 20 * time.Millisecond
)

// An ageRow is the value of the row at ageRowKey. Each mark is a version that
// this row had before a later write, the oldest first. An instance adds a mark
// only after it has seen the same version for a sixteenth of the retention on
// its own monotonic clock. Once there are ageMarkCount marks, all rows with
// versions below the first mark are therefore older than the retention,
// regardless of any wall clock.
type ageRow struct {
	Marks []savorystep.RowVersion `cbor:"1,keyasint,omitempty"`
}

// sweep advances the age marks until ctx ends. After each advance of its own it
// deletes old rows.
//
// Rows of attempts with unknown outcomes are kept forever, because their
// holders may be paused. Objects with stored responses are not deleted, because
// the platform's protocol has no call for it; their lifetime has to be set on
// the platform.
func (s *IdempotencyStore) sweep(ctx context.Context) error {
	markInterval := s.config.Retention / ageMarkCount
	var lastChange seenRow
	for savorystep.Sleep(ctx, markInterval/4) {
		row, err := s.config.Table.Get(ctx, ageRowKey)
		now := s.config.Clock.Now()
		if err != nil {
			continue
		}
		if lastChange.firstSeen.IsZero() || row.Version != lastChange.version {
			lastChange = seenRow{version: row.Version, firstSeen: now}
		}
		if row.Version != 0 && now.Sub(lastChange.firstSeen) < markInterval {
			continue
		}
		versionLimit, err := s.advanceMarks(ctx, row)
		if err != nil {
			log.Warningf("advance the age marks of the idempotency store: %v", err)
			continue
		}
		if versionLimit > 0 {
			s.deleteOldRows(ctx, versionLimit)
		}
	}
	return nil
}

// advanceMarks adds a mark. It returns the version below which rows are older
// than the retention, or 0 if there are too few marks or another instance added
// the mark.
func (s *IdempotencyStore) advanceMarks(ctx context.Context, row savorystep.Row) (savorystep.RowVersion, error) {
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
	commit, err := s.config.Table.Commit(ctx, savorystep.Txn{
		Conditions: []savorystep.Condition{{Key: ageRowKey, Version: row.Version}},
		Writes:     []savorystep.Write{{Key: ageRowKey, Value: encodeCBOR(age)}},
	})
	if err != nil || len(commit.Conflicts) > 0 || len(age.Marks) < ageMarkCount {
		return 0, err
	}
	return age.Marks[0], nil
}

// deleteOldRows deletes the completed and released rows with versions below the
// limit. It stops at an error, because a later sweep deletes the rest.
func (s *IdempotencyStore) deleteOldRows(ctx context.Context, versionLimit savorystep.RowVersion) {
	after, deleted := savorystep.RowKey(""), 0
	for savorystep.Sleep(ctx, sweepPageInterval) {
		rows, err := s.config.Table.Scan(ctx, keyPrefix, after, sweepPageRows)
		if err != nil || len(rows) == 0 {
			if deleted > 0 {
				log.Infof("deleted %d keys older than %v", deleted, s.config.Retention)
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
		// After a conflict or an error, the page is left to the next sweep.
		if commit, err := s.config.Table.Commit(ctx, txn); err == nil && len(commit.Conflicts) == 0 {
			deleted += len(txn.Writes)
		}
	}
}
