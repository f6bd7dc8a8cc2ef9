package store_test

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"savorystep"
	"savorystep/standin"
	"savorystep/store"
)

// startKeys returns a running idempotency store.
func startKeys(t *testing.T, table savorystep.Table, objects savorystep.Objects) *store.IdempotencyStore {
	t.Helper()
	keys := store.NewIdempotencyStore(store.IdempotencyStoreConfig{Table: table, Objects: objects})
	startRunner(t, keys)
	return keys
}

// begin requests the permission for a key within a timeout.
func begin(t *testing.T, keys *store.IdempotencyStore, key string, timeout time.Duration) (savorystep.KeyedAttempt, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	return keys.Begin(ctx, "orders", savorystep.IdempotencyKey(key), 1)
}

// mustBegin requests the permission for a key and fails the test if it is not
// given.
func mustBegin(t *testing.T, keys *store.IdempotencyStore, key string) savorystep.KeyedAttempt {
	t.Helper()
	attempt, err := begin(t, keys, key, time.Minute)
	if err != nil || attempt.StoredResponse() != nil {
		t.Fatalf("Begin %q = %v, %v, want a permission", key, attempt, err)
	}
	return attempt
}

// wantKind checks the kind of an error.
func wantKind(t *testing.T, err error, kind savorystep.Kind) {
	t.Helper()
	if savorystep.KindOf(err) != kind {
		t.Errorf("error %v, want kind %v", err, kind)
	}
}

// TestKeysLostAnswer guards against a permission that is lost with the response
// to its insert, even if the responses to all commits are lost.
func TestKeysLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		faulty := standin.NewFaultyTable(standin.NewTable())
		faulty.SetFaults(standin.TableFaults{LoseResponses: 1 << 20})
		keys := startKeys(t, faulty, standin.NewObjects())
		attempt := mustBegin(t, keys, "a")
		if err := attempt.Complete(t.Context(), savorystep.StoredResponse{Status: 200}); err != nil {
			t.Errorf("Complete after lost responses = %v", err)
		}
		again, err := begin(t, keys, "a", time.Second)
		if err != nil || again.StoredResponse() == nil {
			t.Errorf("Begin of the repeated request = %v, %v, want the stored response", again, err)
		}
	})
}

// TestKeysLateInsert guards against a key that stays taken by an insert that
// took effect after its attempt was abandoned.
func TestKeysLateInsert(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		faulty := standin.NewFaultyTable(standin.NewTable())
		faulty.SetFaults(standin.TableFaults{HoldCommits: true})
		keys := startKeys(t, faulty, standin.NewObjects())
		_, err := begin(t, keys, "a", time.Second)
		wantKind(t, err, savorystep.KindPlatformDown)
		faulty.SetFaults(standin.TableFaults{})
		if err := keys.Drain(t.Context()); err != nil {
			t.Fatal(err)
		}
		if err := faulty.ApplyHeldCommits(t.Context()); err != nil {
			t.Fatal(err)
		}
		mustBegin(t, keys, "a")
	})
}

// TestKeysDown guards against keyed requests that wait for a platform known to
// be unavailable, and against an error that says that a request did not run
// although another attempt with its key was seen.
func TestKeysDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		faulty := standin.NewFaultyTable(standin.NewTable())
		keys := startKeys(t, faulty, standin.NewObjects())
		mustBegin(t, keys, "seen")
		_, err := begin(t, keys, "seen", time.Second)
		wantKind(t, err, savorystep.KindInProgress)
		faulty.SetFaults(standin.TableFaults{Down: true})
		var wait sync.WaitGroup
		for i := range 10 {
			wait.Go(func() {
				_, err := begin(t, keys, strconv.Itoa(i), time.Minute)
				wantKind(t, err, savorystep.KindPlatformDown)
			})
		}
		time.Sleep(time.Second)
		called := time.Now()
		_, err = begin(t, keys, "new", time.Minute)
		wantKind(t, err, savorystep.KindPlatformDown)
		if waited := time.Since(called); waited > 0 {
			t.Errorf("Begin waited %v during an outage, want an immediate refusal", waited)
		}
		_, err = begin(t, keys, "seen", time.Minute)
		wantKind(t, err, savorystep.KindInProgress)
		wait.Wait()
		faulty.SetFaults(standin.TableFaults{})
		time.Sleep(2 * time.Second)
		mustBegin(t, keys, "new")
	})
}

// TestKeysUnknownOutcome guards against an attempt that is reported as in
// progress forever, and against a second run of it.
func TestKeysUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable()
		mustBegin(t, startKeys(t, table, standin.NewObjects()), "a")
		other := startKeys(t, table, standin.NewObjects())
		time.Sleep(time.Hour)
		for _, step := range []struct {
			wait time.Duration
			kind savorystep.Kind
		}{
			{wait: 0, kind: savorystep.KindInProgress},
			{wait: 59 * time.Second, kind: savorystep.KindInProgress},
			{wait: 2 * time.Second, kind: savorystep.KindOutcomeUnknown},
			{wait: 1000 * time.Hour, kind: savorystep.KindOutcomeUnknown},
		} {
			time.Sleep(step.wait)
			_, err := begin(t, other, "a", time.Second)
			wantKind(t, err, step.kind)
		}
	})
}

// TestKeysRelease guards against a released key that can't be taken, and
// against the release of a completed attempt.
func TestKeysRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable()
		first, second := startKeys(t, table, standin.NewObjects()), startKeys(t, table, standin.NewObjects())
		if err := mustBegin(t, first, "a").Release(t.Context()); err != nil {
			t.Fatal(err)
		}
		attempt := mustBegin(t, second, "a")
		if err := attempt.Complete(t.Context(), savorystep.StoredResponse{Status: 200}); err != nil {
			t.Fatal(err)
		}
		wantKind(t, attempt.Release(t.Context()), savorystep.KindInternal)
		again, err := begin(t, first, "a", time.Second)
		if err != nil || again.StoredResponse() == nil {
			t.Fatalf("Begin of the repeated request = %v, %v, want the stored response", again, err)
		}
		wantKind(t, again.Release(t.Context()), savorystep.KindInternal)
	})
}

// TestKeysReleaseDuringOutage guards against a key that stays taken because it
// was released during an outage.
func TestKeysReleaseDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		faulty := standin.NewFaultyTable(standin.NewTable())
		keys := startKeys(t, faulty, standin.NewObjects())
		attempt := mustBegin(t, keys, "a")
		faulty.SetFaults(standin.TableFaults{Down: true})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		wantKind(t, attempt.Release(ctx), savorystep.KindPlatformDown)
		faulty.SetFaults(standin.TableFaults{})
		if err := keys.Drain(t.Context()); err != nil {
			t.Fatal(err)
		}
		mustBegin(t, keys, "a")
	})
}

// failingObjects is an object store whose calls fail while err is set.
type failingObjects struct {
	savorystep.Objects
	err error
}

func (o *failingObjects) Get(ctx context.Context, name savorystep.ObjectName) ([]byte, error) {
	if o.err != nil {
		return nil, o.err
	}
	return o.Objects.Get(ctx, name)
}

func (o *failingObjects) Put(ctx context.Context, name savorystep.ObjectName, value []byte) error {
	if o.err != nil {
		return o.err
	}
	return o.Objects.Put(ctx, name, value)
}

// TestKeysObjectDown guards against an error that says that a request did not
// run when its stored response can't be read, and against a response that is lost
// because of a short outage of the object store.
func TestKeysObjectDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		objects := &failingObjects{Objects: standin.NewObjects(), err: savorystep.NewError(savorystep.KindPlatformDown, "down")}
		keys := startKeys(t, standin.NewTable(), objects)
		attempt := mustBegin(t, keys, "a")
		response := savorystep.StoredResponse{Status: 200, Body: make([]byte, 1<<20)}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		wantKind(t, attempt.Complete(ctx, response), savorystep.KindPlatformDown)
		objects.err = nil
		if err := attempt.Complete(t.Context(), response); err != nil {
			t.Fatalf("Complete after the outage = %v", err)
		}
		objects.err = savorystep.NewError(savorystep.KindPlatformDown, "down")
		_, err := begin(t, keys, "a", time.Second)
		wantKind(t, err, savorystep.KindInProgress)
		objects.err = savorystep.NewError(savorystep.KindNotFound, "gone")
		_, err = begin(t, keys, "a", time.Second)
		wantKind(t, err, savorystep.KindOutcomeUnknown)
		objects.err = nil
		again, err := begin(t, keys, "a", time.Second)
		if err != nil || again.StoredResponse() == nil || len(again.StoredResponse().Body) != 1<<20 {
			t.Errorf("Begin of the repeated request = %v, %v, want the stored response", again, err)
		}
	})
}

// TestKeysBatch guards against one transaction for each key, against batches
// without bound, and against a batch that fails as a whole because one of its
// keys is taken.
func TestKeysBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		commits, largest := 0, 0
		table := &hookTable{Table: standin.NewTable(), onCommit: func(txn savorystep.Txn) {
			mu.Lock()
			defer mu.Unlock()
			commits++
			largest = max(largest, len(txn.Writes))
		}}
		keys := startKeys(t, table, standin.NewObjects())
		mustBegin(t, keys, "10")
		var wait sync.WaitGroup
		granted := 0
		for i := range 1000 {
			wait.Go(func() {
				_, err := begin(t, keys, strconv.Itoa(i%500), time.Minute)
				mu.Lock()
				defer mu.Unlock()
				if err == nil {
					granted++
				} else {
					wantKind(t, err, savorystep.KindInProgress)
				}
			})
		}
		wait.Wait()
		if granted != 499 {
			t.Errorf("%d permissions for 499 free keys, want 499", granted)
		}
		if commits > 60 || largest > store.DefaultMaxBatchRows {
			t.Errorf("%d transactions, want at most 60; the largest with %d rows", commits, largest)
		}
		t.Logf("%d transactions for 1001 calls of Begin, the largest with %d rows", commits, largest)
	})
}

// A refusingTable refuses commits above a rate per second, as the platform
// does.
type refusingTable struct {
	savorystep.Table
	mu                sync.Mutex
	accepted, refused int
	perSecond         int
	currentSecond     int64
	commitsInSecond   int
}

func (t *refusingTable) Commit(ctx context.Context, txn savorystep.Txn) (savorystep.CommitResult, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now := time.Now().Unix(); now != t.currentSecond {
		t.currentSecond, t.commitsInSecond = now, 0
	}
	if t.commitsInSecond >= t.perSecond {
		t.refused++
		return savorystep.CommitResult{}, savorystep.WrapError(savorystep.KindPlatformDown, store.ErrRefused, "status 429")
	}
	t.commitsInSecond++
	t.accepted++
	return t.Table.Commit(ctx, txn)
}

// TestKeysPace guards against an instance that responds to the platform's rate
// limit with more transactions instead of larger ones.
func TestKeysPace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &refusingTable{Table: standin.NewTable(), perSecond: 20}
		keys := startKeys(t, table, standin.NewObjects())
		var wait sync.WaitGroup
		failed := errors.New("")
		var mu sync.Mutex
		for i := range 8000 { // 400 per second for 20 s need 7 transactions per second.
			wait.Go(func() {
				time.Sleep(time.Duration(i) * 2500 * time.Microsecond)
				if _, err := begin(t, keys, strconv.Itoa(i), 5*time.Second); err != nil {
					mu.Lock()
					defer mu.Unlock()
					failed = errors.Join(failed, err)
				}
			})
		}
		wait.Wait()
		if failed.Error() != "" {
			t.Errorf("Begin failed: %v", failed)
		}
		t.Logf("%d transactions accepted, %d refused", table.accepted, table.refused)
		if table.refused > table.accepted {
			t.Errorf("%d transactions refused, want at most the %d accepted", table.refused, table.accepted)
		}
	})
}

// TestKeysSweep guards against a key that is deleted before the retention ends,
// against rows that are never deleted, and against the deletion of a row whose
// attempt may still run.
func TestKeysSweep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable()
		keys := startKeys(t, table, standin.NewObjects())
		other := startKeys(t, table, standin.NewObjects())
		time.Sleep(5 * time.Hour)
		if err := mustBegin(t, keys, "done").Complete(t.Context(), savorystep.StoredResponse{Status: 200}); err != nil {
			t.Fatal(err)
		}
		if err := mustBegin(t, keys, "released").Release(t.Context()); err != nil {
			t.Fatal(err)
		}
		mustBegin(t, keys, "open")
		completed := time.Now()
		count := func() int {
			rows, err := table.Scan(t.Context(), "key/", "", 10)
			if err != nil {
				t.Fatal(err)
			}
			return len(rows)
		}
		time.Sleep(store.DefaultRetention - time.Minute)
		if count() != 3 {
			t.Errorf("%d rows after %v, want 3", count(), time.Since(completed))
		}
		time.Sleep(store.DefaultRetention)
		if count() != 1 {
			t.Errorf("%d rows after %v, want 1", count(), time.Since(completed))
		}
		_, err := begin(t, other, "open", time.Second)
		wantKind(t, err, savorystep.KindInProgress)
	})
}

// A jumpingClock is a clock that a test moves ahead, like that of a process
// that was paused.
type jumpingClock struct {
	mu   sync.Mutex
	jump time.Duration
}

func (c *jumpingClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Add(c.jump)
}

// TestKeysPausedInsert guards against an attempt that takes its own late insert
// for a permission after a pause so long that the key's completed row may have
// been deleted.
func TestKeysPausedInsert(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := &jumpingClock{}
		table := &hookTable{Table: standin.NewTable()}
		table.onCommit = func(savorystep.Txn) {
			clock.mu.Lock()
			defer clock.mu.Unlock()
			if clock.jump == 0 {
				clock.jump = 100 * time.Hour
			}
		}
		keys := store.NewIdempotencyStore(store.IdempotencyStoreConfig{Table: table, Objects: standin.NewObjects(), Clock: clock})
		startRunner(t, keys)
		_, err := begin(t, keys, "a", time.Second)
		wantKind(t, err, savorystep.KindPlatformDown)
		if err := keys.Drain(t.Context()); err != nil {
			t.Fatal(err)
		}
		mustBegin(t, keys, "a")
	})
}

// TestKeysNames guards against two keys that share a row.
func TestKeysNames(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		keys := startKeys(t, standin.NewTable(), standin.NewObjects())
		for _, pair := range [][2]string{{"a/b", "c"}, {"a", "b/c"}, {"a", "\xff"}, {"a", "\xfe"}, {"a", "%FE"}, {"a", "�"}} {
			attempt, err := keys.Begin(t.Context(), savorystep.Service(pair[0]), savorystep.IdempotencyKey(pair[1]), 1)
			if err != nil || attempt.StoredResponse() != nil {
				t.Errorf("Begin(%q) = %v, %v, want a permission", pair, attempt, err)
			}
		}
		for _, key := range []string{"", string(make([]byte, 256))} {
			_, err := begin(t, keys, key, time.Second)
			wantKind(t, err, savorystep.KindBadRequest)
		}
	})
}
