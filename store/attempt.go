package store

import (
	"context"
	"sync"

	"savorystep"
)

var _ savorystep.KeyedAttempt = &attempt{}

// An attempt is one attempt to run a keyed request.
type attempt struct {
	store      *IdempotencyStore
	id         savorystep.AttemptID
	row        savorystep.Row
	permission keyRow
	response   *savorystep.StoredResponse

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
	value := a.permission
	value.State, value.StoredResponse = keyCompleted, stored
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
	return a.writeRow(ctx, a.permission.released())
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

// writeRow replaces the attempt's row, also if a restored table has lost it.
func (a *attempt) writeRow(ctx context.Context, value keyRow) error {
	a.store.known.update(a.row.Key, value, a.store.config.Clock.Now())
	version, era := a.row.Version, a.row.Era.OrFirst()
	for {
		w := a.store.writes.submit(a.row.Key, version, era, value.encode(era))
		select {
		case <-ctx.Done():
			a.store.followWrite(w)
			return savorystep.WrapError(savorystep.KindPlatformDown, ctx.Err(), "row write of attempt %q is still pending", a.id)
		case row := <-w.result:
			if w.tookEffect(row) {
				return nil
			}
			if !a.isRestored(row) {
				return savorystep.NewError(savorystep.KindInternal, "row of attempt %q was changed by another attempt", a.id)
			}
			version, era = row.Version, row.Era.OrFirst()
		}
	}
}

// isRestored reports whether a row of a later era than the permission is missing,
// released or the permission, written again.
func (a *attempt) isRestored(row savorystep.Row) bool {
	if row.Era.OrFirst() <= a.row.Era.OrFirst() {
		return false
	}
	if row.Version == 0 {
		return true
	}
	value, err := decodeKeyRow(row)
	return err == nil && (value.State == keyReleased || value.State == keyPermitted && value.Attempt == a.id)
}
