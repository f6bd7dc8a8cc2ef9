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
	id      savorystep.AttemptID
}

// abandonAttempt abandons the write of an attempt. A write that may still take
// effect is queued for resolution in the background.
func (s *IdempotencyStore) abandonAttempt(w *rowWrite, id savorystep.AttemptID) {
	if !s.writes.abandon(w) {
		return
	}
	s.unresolvedAttempts.Add(1)
	select {
	case s.abandoned <- abandonedAttempt{key: w.key, version: w.version, id: id}:
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
// released instead.
func (s *IdempotencyStore) resolveAttempt(ctx context.Context, abandoned abandonedAttempt) {
	value := encodeCBOR(keyRow{State: keyReleased, Attempt: abandoned.id})
	for {
		w := s.writes.submit(abandoned.key, abandoned.version, value)
		select {
		case <-ctx.Done():
			return
		case row := <-w.result:
			if w.tookEffect(row) || row.Version == 0 {
				return
			}
			current, err := decodeKeyRow(row)
			if err != nil || current.Attempt != abandoned.id || current.State != keyPermitted {
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
