package store

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"savorystep"
)

// An abandonedAttempt is an attempt that was given up while the outcome of its
// write was unknown. The write must be resolved in the background.
type abandonedAttempt struct {
	key     savorystep.RowKey
	version savorystep.RowVersion
	era     savorystep.StoreEra
	// released is the row that resolves the attempt.
	released keyRow
}

// abandonAttempt abandons the write of an attempt. A write that may still take
// effect is queued for resolution in the background.
func (s *IdempotencyStore) abandonAttempt(w *rowWrite, value keyRow) {
	if !s.writes.abandon(w) {
		return
	}
	released := value.released()
	s.known.putReleased(w.key, released, s.config.Clock.Now())
	s.unresolvedAttempts.Add(1)
	select {
	case s.abandoned <- abandonedAttempt{key: w.key, version: w.version, era: w.era, released: released}:
	default:
		s.unresolvedAttempts.Add(-1)
		log.Warningf("queue of %d abandoned attempts is full, a key may stay taken", maxAbandonedAttempts)
	}
}

// resolveAbandoned resolves abandoned attempts until ctx ends.
func (s *IdempotencyStore) resolveAbandoned(ctx context.Context) error {
	var group errgroup.Group
	for {
		select {
		case <-ctx.Done():
			return group.Wait()
		case unresolved := <-s.abandoned:
			group.Go(func() error {
				defer s.unresolvedAttempts.Add(-1)
				s.resolveAttempt(ctx, unresolved)
				return nil
			})
		}
	}
}

// resolveAttempt writes a released row under the condition of the abandoned
// write. Once that succeeds, the abandoned write can no longer take effect,
// however late it arrives. If the abandoned write took effect first, its row is
// released instead. After a restore of the table it starts again, because the table
// may have lost the released row.
func (s *IdempotencyStore) resolveAttempt(ctx context.Context, abandoned abandonedAttempt) {
	for {
		w := s.writes.submit(abandoned.key, abandoned.version, abandoned.era, abandoned.released.encode(abandoned.era))
		select {
		case <-ctx.Done():
			return
		case row := <-w.result:
			if w.tookEffect(row) {
				return
			}
			isLater := row.Era.OrFirst() > abandoned.era
			abandoned.era = row.Era.OrFirst()
			if row.Version == 0 {
				if isLater {
					abandoned.version = 0
					continue
				}
				return
			}
			current, err := decodeKeyRow(row)
			if err != nil || current.Attempt != abandoned.released.Attempt || current.State != keyPermitted {
				return
			}
			abandoned.version = row.Version
		}
	}
}

// Drain waits until all writes and abandoned attempts are resolved, so that a
// planned stop leaves no key taken. The error has kind KindPlatformDown if ctx
// ends first.
func (s *IdempotencyStore) Drain(ctx context.Context) error {
	const pollInterval = 10 * time.Millisecond
	for {
		unresolved := int(s.unresolvedAttempts.Load()) + s.writes.unresolvedCount()
		if unresolved == 0 {
			return nil
		}
		if !savorystep.Sleep(ctx, pollInterval) {
			return savorystep.WrapError(savorystep.KindPlatformDown, ctx.Err(), "drain the idempotency store: %d writes or attempts are unresolved", unresolved)
		}
	}
}
