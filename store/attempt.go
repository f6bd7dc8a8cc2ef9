package store

import (
	"context"
	"sync"

	"savorystep"
)

var _ savorystep.KeyedAttempt = &attempt{}

// An attempt is one attempt to run a keyed request.
type attempt struct {
	store       *IdempotencyStore
	id          savorystep.AttemptID
	row         savorystep.Row
	fingerprint savorystep.Fingerprint
	response    *savorystep.StoredResponse

	mu sync.Mutex
	// finalState is the state that the caller chose to end the attempt in, or 0
	// before that.
	finalState keyState
}

// StoredResponse returns the stored response, or nil if the attempt may run.
func (a *attempt) StoredResponse() *savorystep.StoredResponse {
	return a.response
}

// Complete stores the response. If ctx ends first, the write of the row continues
// in the background. A large response is stored only if ctx outlasts the write of
// its object, but Complete may be called again. The error has kind
// KindPlatformDown if ctx ended, and KindInternal if the attempt has no
// permission, was released or lost its row.
func (a *attempt) Complete(ctx context.Context, response savorystep.StoredResponse) error {
	if err := a.finish(keyCompleted); err != nil {
		return err
	}
	stored := &storedResponse{Status: response.Status, Header: response.Header, Body: response.Body}
	value := keyRow{State: keyCompleted, Attempt: a.id, Fingerprint: a.fingerprint, StoredResponse: stored}
	if len(response.Body) > a.store.config.MaxInlineBytes {
		value.StoredResponse = nil
		value.Object = savorystep.ObjectName("answer/" + string(a.id))
		if err := a.putObject(ctx, value.Object, encodeCBOR(stored)); err != nil {
			return err
		}
	}
	return a.writeRow(ctx, value)
}

// putObject writes a large response and retries until ctx ends. The object's name
// contains the attempt ID, so it is safe to write it again after an error.
func (a *attempt) putObject(ctx context.Context, name savorystep.ObjectName, value []byte) error {
	for retries := 0; ; retries++ {
		err := a.store.config.Objects.Put(ctx, name, value)
		if err == nil {
			return nil
		}
		if !savorystep.Sleep(ctx, retryDelay(retries)) {
			return savorystep.WrapError(savorystep.KindPlatformDown, err, "store response as object %q", name)
		}
	}
}

// Release gives the permission back. If ctx ends first, the write of the row
// continues in the background. The error kinds are those of Complete.
func (a *attempt) Release(ctx context.Context) error {
	if err := a.finish(keyReleased); err != nil {
		return err
	}
	return a.writeRow(ctx, keyRow{State: keyReleased, Attempt: a.id})
}

// finish fixes the final state of the attempt. A completed attempt can't be
// released, and a released one can't be completed.
func (a *attempt) finish(state keyState) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.id == "" || a.finalState != 0 && a.finalState != state {
		return savorystep.NewError(savorystep.KindInternal, "attempt %q has no permission or has already ended", a.id)
	}
	a.finalState = state
	return nil
}

// writeRow replaces the attempt's row.
func (a *attempt) writeRow(ctx context.Context, value keyRow) error {
	w := a.store.writes.submit(a.row.Key, a.row.Version, encodeCBOR(value))
	select {
	case <-ctx.Done():
		return savorystep.WrapError(savorystep.KindPlatformDown, ctx.Err(), "row write of attempt %q is still pending", a.id)
	case row := <-w.result:
		if !w.tookEffect(row) {
			return savorystep.NewError(savorystep.KindInternal, "row of attempt %q was changed by another attempt", a.id)
		}
		return nil
	}
}
