package store_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"savorystep"
	"savorystep/standin"
	"savorystep/store"
)

// restoreTable restores a table from a copy of the given age.
func restoreTable(table *standin.Table, age time.Duration) {
	table.Restore(table.VersionAt(time.Now().Add(-age)))
}

// afterRestore is longer than an instance takes to notice a restore and to treat
// keys without rows as new again.
const afterRestore = 15 * time.Second

// lostKeyAge is longer than an instance remembers an attempt that it saw before a
// restore.
const lostKeyAge = 11 * time.Minute

// TestKeysRestoredRun guards against a second run of a keyed request whose row and
// response a restored table lost.
func TestKeysRestoredRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable()
		first, second := startKeys(t, table, standin.NewObjects()), startKeys(t, table, standin.NewObjects())
		time.Sleep(time.Minute)
		attempt := mustBegin(t, first, "a")
		if err := attempt.Complete(t.Context(), savorystep.StoredResponse{Status: 201}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		restoreTable(table, 5*time.Second)
		_, err := begin(t, second, "a", time.Second)
		wantKind(t, err, savorystep.KindInProgress)
		time.Sleep(afterRestore)
		again, err := begin(t, second, "a", time.Second)
		if err != nil || again.StoredResponse() == nil || again.StoredResponse().Status != 201 {
			t.Errorf("Begin of the repeated request = %v, %v, want the stored response", again, err)
		}
	})
}

// TestKeysRestoredPermission guards against a response that is not stored, and a key
// that is not released, because a restored table lost the row of the permission.
func TestKeysRestoredPermission(t *testing.T) {
	for _, wait := range []time.Duration{0, afterRestore} {
		t.Run(wait.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := standin.NewTable()
				first, second := startKeys(t, table, standin.NewObjects()), startKeys(t, table, standin.NewObjects())
				time.Sleep(time.Minute)
				completed, released := mustBegin(t, first, "completed"), mustBegin(t, first, "released")
				time.Sleep(time.Second)
				restoreTable(table, 5*time.Second)
				time.Sleep(wait)
				if err := completed.Complete(t.Context(), savorystep.StoredResponse{Status: 201}); err != nil {
					t.Errorf("Complete after the restore = %v", err)
				}
				if err := released.Release(t.Context()); err != nil {
					t.Errorf("Release after the restore = %v", err)
				}
				time.Sleep(afterRestore)
				again, err := begin(t, second, "completed", time.Second)
				if err != nil || again.StoredResponse() == nil {
					t.Errorf("Begin of the repeated request = %v, %v, want the stored response", again, err)
				}
				mustBegin(t, second, "released")
			})
		})
	}
}

// TestKeysRestoredSeen guards against a second run of a request that an instance saw
// running at another one, which ended before it wrote its row again.
func TestKeysRestoredSeen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable()
		other := startKeys(t, table, standin.NewObjects())
		time.Sleep(time.Minute)
		ctx, cancel := context.WithCancel(t.Context())
		ended := store.NewIdempotencyStore(store.IdempotencyStoreConfig{Table: table, Objects: standin.NewObjects()})
		done := ended.Start(ctx)
		mustBegin(t, ended, "a")
		_, err := begin(t, other, "a", time.Second)
		wantKind(t, err, savorystep.KindInProgress)
		cancel()
		if err := <-done; err != nil {
			t.Fatal(err)
		}
		restoreTable(table, 5*time.Second)
		_, err = begin(t, other, "a", time.Second)
		wantKind(t, err, savorystep.KindInProgress)
		time.Sleep(afterRestore)
		_, err = begin(t, other, "a", time.Second)
		wantKind(t, err, savorystep.KindOutcomeUnknown)
	})
}

// TestKeysRestoredStart guards against a permission at an instance that starts right
// after a restore, and against refusals at one that starts later.
func TestKeysRestoredStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable()
		first := startKeys(t, table, standin.NewObjects())
		time.Sleep(time.Minute)
		mustBegin(t, first, "a")
		restoreTable(table, 5*time.Second)
		second := startKeys(t, table, standin.NewObjects())
		_, err := begin(t, second, "a", time.Second)
		wantKind(t, err, savorystep.KindInProgress)
		time.Sleep(afterRestore)
		_, err = begin(t, second, "a", time.Second)
		wantKind(t, err, savorystep.KindInProgress)
		mustBegin(t, second, "b")
		third := startKeys(t, table, standin.NewObjects())
		time.Sleep(time.Second)
		mustBegin(t, third, "c")
	})
}

// TestKeysRestoredTwice guards against a key that runs again because a second restore
// lost the row that was written again.
func TestKeysRestoredTwice(t *testing.T) {
	for _, wait := range []time.Duration{0, 100 * time.Millisecond, 3 * time.Second, afterRestore} {
		t.Run(wait.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := standin.NewTable()
				first, second := startKeys(t, table, standin.NewObjects()), startKeys(t, table, standin.NewObjects())
				time.Sleep(time.Minute)
				copied := table.Version()
				if err := mustBegin(t, first, "a").Complete(t.Context(), savorystep.StoredResponse{Status: 201}); err != nil {
					t.Fatal(err)
				}
				for range 2 {
					table.Restore(copied)
					time.Sleep(wait)
				}
				for range 3 {
					again, err := begin(t, second, "a", time.Second)
					if err == nil && again.StoredResponse() == nil {
						t.Fatal("the key is free after it ran")
					}
					time.Sleep(afterRestore)
				}
				again, err := begin(t, second, "a", time.Second)
				if err != nil || again.StoredResponse() == nil {
					t.Errorf("Begin of the repeated request = %v, %v, want the stored response", again, err)
				}
			})
		})
	}
}

// TestKeysRestoredLateInsert guards against a key that stays taken because a late
// insert takes effect after a restored table lost the row that resolved it.
func TestKeysRestoredLateInsert(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable()
		faulty := standin.NewFaultyTable(table)
		keys := startKeys(t, faulty, standin.NewObjects())
		time.Sleep(time.Minute)
		faulty.SetFaults(standin.TableFaults{HoldCommits: true})
		_, err := begin(t, keys, "a", time.Second)
		wantKind(t, err, savorystep.KindPlatformDown)
		faulty.SetFaults(standin.TableFaults{})
		if err := keys.Drain(t.Context()); err != nil {
			t.Fatal(err)
		}
		restoreTable(table, 30*time.Second)
		if err := faulty.ApplyHeldCommits(t.Context()); err != nil {
			t.Fatal(err)
		}
		mustBeginAfterRestore(t, keys, "a")
	})
}

// TestKeysRestoredOldBuild guards against a released row that replaces the permission
// of a build that writes neither a sequence nor an era, whose request then runs twice.
func TestKeysRestoredOldBuild(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable()
		keys := startKeys(t, table, standin.NewObjects())
		time.Sleep(time.Minute)
		for range 2 {
			if err := mustBegin(t, keys, "a").Release(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		restoreTable(table, 5*time.Second)
		permission, err := cbor.Marshal(map[int]any{1: 1, 2: "old", 3: 1})
		if err != nil {
			t.Fatal(err)
		}
		commit, err := table.Commit(t.Context(), savorystep.Txn{
			Conditions: []savorystep.Condition{{Key: "key/orders/a"}},
			Writes:     []savorystep.Write{{Key: "key/orders/a", Value: permission}},
		})
		if err != nil || commit.Version == 0 {
			t.Fatalf("Commit without an era = %+v, %v, want success", commit, err)
		}
		time.Sleep(afterRestore)
		_, err = begin(t, keys, "a", time.Second)
		wantKind(t, err, savorystep.KindInProgress)
	})
}

// mustBeginAfterRestore requests the permission for a key that is free until the
// restore of its table is over.
func mustBeginAfterRestore(t *testing.T, keys *store.IdempotencyStore, key string) {
	t.Helper()
	_, err := begin(t, keys, key, time.Second)
	wantKind(t, err, savorystep.KindInProgress)
	time.Sleep(afterRestore)
	mustBegin(t, keys, key)
}

// A keyRestore restores the table from a copy of itself.
type keyRestore struct {
	At, LostMillis int
}

// apply restores a table, which must be one of the stand-in.
func (r keyRestore) apply(table savorystep.Table) {
	restored := table.(interface {
		VersionAt(at time.Time) savorystep.RowVersion
		Restore(version savorystep.RowVersion)
	})
	lost := time.Duration(r.LostMillis) * time.Millisecond
	restored.Restore(restored.VersionAt(time.Now().Add(-lost)))
}

// restoredKeyPlans draws plans with restores. An instance that crashes before it has
// written its rows again takes what it knows with it, so the plans have no crashes.
func restoredKeyPlans() *rapid.Generator[keyPlan] {
	return rapid.Custom(func(t *rapid.T) keyPlan {
		plan := keyPlans().Draw(t, "plan")
		plan.Crashes = nil
		plan.Restores = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) keyRestore {
			return keyRestore{
				At:         rapid.IntRange(0, planDurationMillis).Draw(t, "at"),
				LostMillis: rapid.SampledFrom([]int{1, 20, 200, 1000, 3000}).Draw(t, "lost"),
			}
		}), 1, 3).Draw(t, "restores")
		return plan
	})
}

// TestKeysAtMostOnceAcrossRestores guards against a second run of a keyed request,
// and a key that stays taken without need, when the table is restored under the
// faults of TestKeysAtMostOnce except for crashes.
func TestKeysAtMostOnceAcrossRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plan := restoredKeyPlans().Draw(t, "plan")
		rapid.SyncTest(t, func(t *rapid.T) {
			violations, history := runKeyPlan(plan, standin.NewTable())
			for _, violation := range violations {
				t.Error(violation)
			}
			if porcupine.CheckOperationsTimeout(keyModel.ToModel(), history, 0) == porcupine.Illegal {
				t.Errorf("history is not linearizable: %+v", history)
			}
		})
	})
}

// TestKeysRestoreCheckFindsFaults guards against a simulation of restores that
// detects nothing: without each protection, some plan must have a violation.
func TestKeysRestoreCheckFindsFaults(t *testing.T) {
	cases := []struct {
		name          string
		hidesEra      bool
		restoreWindow time.Duration
	}{
		{name: "keys without rows are new at once", restoreWindow: 1},
		{name: "table that hides its era", hidesEra: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			found := 0
			for seed := range 100 {
				plan := restoredKeyPlans().Example(seed)
				plan.RestoreWindow = c.restoreWindow
				synctest.Test(t, func(*testing.T) {
					table := standin.NewTable()
					if c.hidesEra {
						table.HideEra()
					}
					violations, history := runKeyPlan(plan, table)
					if len(violations) > 0 || porcupine.CheckOperationsTimeout(keyModel.ToModel(), history, 0) == porcupine.Illegal {
						found++
					}
				})
			}
			t.Logf("%d of 100 plans have a violation", found)
			if found == 0 {
				t.Error("none of 100 plans has a violation")
			}
		})
	}
}
