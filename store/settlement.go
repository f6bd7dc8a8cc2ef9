package store

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"savorystep"
)

// A settlement is the work left by an attempt that gave up while the outcome of
// its write was unknown.
type settlement struct {
	key     savorystep.RowKey
	version savorystep.RowVersion
	id      savorystep.AttemptID
}

// giveUp abandons the write of an attempt. If it may take effect, it is settled
// in the background.
func (k *Keys) giveUp(w *rowWrite, id savorystep.AttemptID) {
	if !k.batch.abandon(w) {
		return
	}
	k.pending.Add(1)
	select {
	case k.settlements <- settlement{key: w.key, version: w.version, id: id}:
	default:
		k.pending.Add(-1)
		log.Warningf("too many attempts to settle, a key may stay taken")
	}
}

// settle works on settlements until ctx ends.
func (k *Keys) settle(ctx context.Context) error {
	var group errgroup.Group
	for {
		select {
		case <-ctx.Done():
			return group.Wait()
		case s := <-k.settlements:
			group.Go(func() error {
				defer k.pending.Add(-1)
				k.settleOne(ctx, s)
				return nil
			})
		}
	}
}

// settleOne writes a released row under the condition of the abandoned write.
// If that succeeds, the abandoned write can no longer take effect, however late
// it is. If the abandoned write was first, its row is released instead.
func (k *Keys) settleOne(ctx context.Context, s settlement) {
	value := encodeCBOR(keyRow{State: keyReleased, Attempt: s.id})
	for {
		w := k.batch.submit(s.key, s.version, value)
		select {
		case <-ctx.Done():
			return
		case row := <-w.settled:
			if w.owns(row) || row.Version == 0 {
				return
			}
			other, err := decodeKeyRow(row)
			if err != nil || other.Attempt != s.id || other.State != keyPermitted {
				return
			}
			s.version = row.Version
		}
	}
}

// Drain waits until all background work is done, so that a planned stop leaves
// no key taken.
func (k *Keys) Drain(ctx context.Context) error {
	const interval = 10 * time.Millisecond
	for {
		open := int(k.pending.Load()) + k.batch.unsettled()
		if open == 0 {
			return nil
		}
		if !savorystep.Sleep(ctx, interval) {
			return savorystep.WrapError(savorystep.KindPlatformDown, ctx.Err(), "%d keys are not settled", open)
		}
	}
}
