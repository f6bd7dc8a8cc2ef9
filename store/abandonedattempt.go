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
func (k *Keys) abandonAttempt(w *rowWrite, id savorystep.AttemptID) {
	if !k.writes.abandon(w) {
		return
	}
	k.unresolvedAttempts.Add(1)
	select {
	case k.abandoned <- abandonedAttempt{key: w.key, version: w.version, id: id}:
	default:
		k.unresolvedAttempts.Add(-1)
		log.Warningf("queue of %d abandoned attempts is full, a key may stay taken", maxAbandonedAttempts)
	}
}

// resolveAbandoned resolves abandoned attempts until ctx ends.
func (k *Keys) resolveAbandoned(ctx context.Context) error {
	var group errgroup.Group
	for {
		select {
		case <-ctx.Done():
			return group.Wait()
		case abandonedAttempt := <-k.abandoned:
			group.Go(func() error {
				defer k.unresolvedAttempts.Add(-1)
				k.resolveAttempt(ctx, abandonedAttempt)
				return nil
			})
		}
	}
}

// resolveAttempt writes a released row under the condition of the abandoned
// write. Once that succeeds, the abandoned write can no longer take effect,
// however late it arrives. If the abandoned write took effect first, its row is
// released instead.
func (k *Keys) resolveAttempt(ctx context.Context, abandoned abandonedAttempt) {
	value := encodeCBOR(keyRow{State: keyReleased, Attempt: abandoned.id})
	for {
		w := k.writes.submit(abandoned.key, abandoned.version, value)
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
func (k *Keys) Drain(ctx context.Context) error {
	const pollInterval = 10 * time.Millisecond
	for {
		unresolved := int(k.unresolvedAttempts.Load()) + k.writes.unresolvedCount()
		if unresolved == 0 {
			return nil
		}
		if !savorystep.Sleep(ctx, pollInterval) {
			return savorystep.WrapError(savorystep.KindPlatformDown, ctx.Err(), "drain the key ledger: %d writes or attempts are unresolved", unresolved)
		}
	}
}
