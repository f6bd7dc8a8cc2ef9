package store

import (
	"context"
	"sync"

	"savorystep"
)

var _ savorystep.KeyedAttempt = &attempt{}

// An attempt is one attempt at running a keyed request.
type attempt struct {
	keys        *Keys
	id          savorystep.AttemptID
	row         savorystep.Row
	fingerprint savorystep.Fingerprint
	answer      *savorystep.StoredResponse

	mu sync.Mutex
	// ended is the state that the attempt was told to end in, 0 before.
	finalState keyState
}

// StoredResponse returns the stored answer, or nil if the attempt may run.
func (a *attempt) StoredResponse() *savorystep.StoredResponse {
	return a.answer
}

// Complete stores the answer. If ctx ends first, the row's write goes on in the
// background; a large answer is stored only if ctx outlasts its write, but
// Complete may be called again.
func (a *attempt) Complete(ctx context.Context, answer savorystep.StoredResponse) error {
	if err := a.finish(keyCompleted); err != nil {
		return err
	}
	stored := &storedAnswer{Status: answer.Status, Header: answer.Header, Body: answer.Body}
	value := keyRow{State: keyCompleted, Attempt: a.id, Fingerprint: a.fingerprint, Answer: stored}
	if len(answer.Body) > a.keys.config.MaxInlineBytes {
		value.Answer = nil
		value.Object = savorystep.ObjectName("answer/" + string(a.id))
		if err := a.putObject(ctx, value.Object, encodeCBOR(stored)); err != nil {
			return err
		}
	}
	return a.writeRow(ctx, value)
}

// putObject writes a large answer. The name is the attempt's own, so writing it
// again after an error does no harm.
func (a *attempt) putObject(ctx context.Context, name savorystep.ObjectName, value []byte) error {
	for retries := 0; ; retries++ {
		err := a.keys.config.Objects.Put(ctx, name, value)
		if err == nil {
			return nil
		}
		if !savorystep.Sleep(ctx, retryDelay(retries)) {
			return savorystep.WrapError(savorystep.KindPlatformDown, err, "the answer is not stored")
		}
	}
}

// Release gives the permission back. If ctx ends first, the row's write goes on
// in the background.
func (a *attempt) Release(ctx context.Context) error {
	if err := a.finish(keyReleased); err != nil {
		return err
	}
	return a.writeRow(ctx, keyRow{State: keyReleased, Attempt: a.id})
}

// end notes how the attempt ends. A request that ran is never released and a
// released one has no answer.
func (a *attempt) finish(state keyState) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.id == "" || a.finalState != 0 && a.finalState != state {
		return savorystep.NewError(savorystep.KindInternal, "the attempt has ended")
	}
	a.finalState = state
	return nil
}

// write replaces the attempt's row.
func (a *attempt) writeRow(ctx context.Context, value keyRow) error {
	w := a.keys.writes.submit(a.row.Key, a.row.Version, encodeCBOR(value))
	select {
	case <-ctx.Done():
		return savorystep.WrapError(savorystep.KindPlatformDown, ctx.Err(), "the key's row is not yet written")
	case row := <-w.result:
		if !w.tookEffect(row) {
			return savorystep.NewError(savorystep.KindInternal, "the key's row was changed by another")
		}
		return nil
	}
}
