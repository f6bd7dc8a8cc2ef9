package store

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"savorystep"
)

// A settlement is the work left by an attempt that gave up while the outcome of
// its write was unknown.
type abandonedAttempt struct {
	key     savorystep.RowKey
	version savorystep.RowVersion
	id      savorystep.AttemptID
}

// giveUp abandons the write of an attempt. If it may take effect, it is settled
// in the background.
func (k *Keys) abandonAttempt(w *rowWrite, id savorystep.AttemptID) {
	if !k.writes.abandon(w) {
		return
	}
	k.unresolvedAttempts.Add(1)
	select {
	case k.abandoned <- abandonedAttempt{key: w.key, version: w.version, id: id}:
	default:
		k.unresolvedAttempts.Add(-1)
		log.Warningf("too many attempts to settle, a key may stay taken")
	}
}

// settle works on settlements until ctx ends.
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

// settleOne writes a released row under the condition of the abandoned write.
// If that succeeds, the abandoned write can no longer take effect, however late
// it is. If the abandoned write was first, its row is released instead.
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

// Drain waits until all background work is done, so that a planned stop leaves
// no key taken.
func (k *Keys) Drain(ctx context.Context) error {
	const pollInterval = 10 * time.Millisecond
	for {
		unresolved := int(k.unresolvedAttempts.Load()) + k.writes.unresolvedCount()
		if unresolved == 0 {
			return nil
		}
		if !savorystep.Sleep(ctx, pollInterval) {
			return savorystep.WrapError(savorystep.KindPlatformDown, ctx.Err(), "%d keys are not settled", unresolved)
		}
	}
}
