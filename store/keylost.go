package store

import (
	"context"

	"savorystep"
)

// mayBeLost reports whether a key without a row may have run, because a restored
// table lacks its row. An insert would not show that.
func (s *IdempotencyStore) mayBeLost(ctx context.Context, key savorystep.RowKey) bool {
	if s.guard.isOpen() {
		_ = s.marker.read(ctx) // Without the marker the window stays open.
	}
	known, isKnown := s.known.get(key, s.config.Clock.Now())
	return s.guard.isOpen() || isKnown && known.State != keyReleased || s.seenAttempts.isOutdated(key, s.guard.current())
}

// readKey reads and evaluates the row of a key. The response is nil if the key is
// free.
func (s *IdempotencyStore) readKey(
	ctx context.Context, key savorystep.RowKey, fingerprint savorystep.Fingerprint,
) (savorystep.Row, *savorystep.StoredResponse, error) {
	row, err := s.config.Table.Get(ctx, key)
	if err != nil {
		return row, nil, s.unavailableError(key)
	}
	s.guard.observe(row.Era, s.config.Clock.Now())
	_, stored, err := s.evaluateRow(ctx, row, fingerprint)
	return row, stored, err
}

// restoredError returns the error for a key that may have run, since a restored table
// may have lost its row.
func restoredError() error {
	return savorystep.NewError(savorystep.KindInProgress, "the table was restored from a copy that may lack an earlier attempt with this key")
}

// checkFree returns an error if a key that is free by its row may have run. The value
// is that of the released row, or zero if there is no row.
func (s *IdempotencyStore) checkFree(row savorystep.Row, released keyRow) error {
	now := s.config.Clock.Now()
	known, isKnown := s.known.get(row.Key, now)
	switch {
	case s.guard.isOpen(), isKnown && known.State != keyReleased && known.Attempt != released.Attempt:
		return restoredError()
	case s.seenAttempts.isLost(row, released, now.Add(-maxKnownAge)):
		return savorystep.NewError(savorystep.KindOutcomeUnknown, "an earlier attempt with this key was lost in a restore of the table")
	default:
		return nil
	}
}
