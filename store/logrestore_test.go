package store_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"savorystep"
	"savorystep/standin"
)

// TestLogRestored guards against an accepted change that goes back after a restore
// that lost it, also at an instance that starts after it, against changes that are
// refused from then on, and against reads without a pause meanwhile.
func TestLogRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable()
		var reads atomic.Int64
		counting := &hookTable{Table: table, onGet: func(savorystep.RowKey) { reads.Add(1) }}
		net := newLogNetwork()
		first, second := startLog(t, counting, net.node("first")), startLog(t, counting, net.node("second"))
		mustApply(t, first, change("1", "stock", 0))
		time.Sleep(time.Minute)
		mustApply(t, first, change("2", "stock", 1))
		mustApply(t, first, change("3", "orders", 0))
		waitForRevision(t, second, 3, 5*time.Second)
		reads.Store(0)
		restoreTable(table, 5*time.Second)
		third := startLog(t, counting, net.node("third"))
		if revision := mustApply(t, second, change("4", "stock", 2)); revision != 4 {
			t.Errorf("change after the restore accepted at revision %d, want 4", revision)
		}
		waitForRevision(t, third, 4, 5*time.Second)
		if n := reads.Load(); n > 100 {
			t.Errorf("%d reads until the change after the restore was accepted, want at most 100", n)
		}
		if third.View().RecordRevisions["orders"] != 3 {
			t.Errorf("view %+v at an instance that started after the restore, want the lost change of orders", third.View())
		}
		if revision := mustApply(t, third, change("2", "stock", 1)); revision != 2 {
			t.Errorf("repeated change is at revision %d, want 2", revision)
		}
	})
}

// TestLogRestoredReady guards against an instance that starts after a restore and is
// ready with a configuration that others have replaced.
func TestLogRestoredReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable()
		net := newLogNetwork()
		first := startLog(t, table, net.node("first"))
		mustApply(t, first, change("1", "stock", 0))
		time.Sleep(time.Minute)
		mustApply(t, first, change("2", "stock", 1))
		net.setPartitioned(true)
		time.Sleep(900 * time.Millisecond) // The first instance has just polled.
		restoreTable(table, 5*time.Second)
		second := startLog(t, table, net.node("second"))
		for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			if second.Ready() && second.View().Revision != 2 {
				t.Fatalf("ready at revision %d, want 2", second.View().Revision)
			}
		}
		if !second.Ready() {
			t.Error("not ready a minute after the restore")
		}
	})
}

// TestLogRestoredOtherContent guards against an instance that takes a change of the
// new era for the one that it knows by that revision.
func TestLogRestoredOtherContent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable()
		faulty := standin.NewFaultyTable(table)
		net := newLogNetwork()
		net.setPartitioned(true)
		cut, other := startLog(t, faulty, net.node("cut")), startLog(t, table, net.node("other"))
		mustApply(t, other, change("1", "stock", 0))
		waitForRevision(t, cut, 1, 5*time.Second)
		time.Sleep(time.Minute)
		mustApply(t, cut, change("2", "stock", 1))
		faulty.SetFaults(standin.TableFaults{Down: true})
		restoreTable(table, time.Second)
		time.Sleep(time.Minute)
		if other.View().Revision == 1 {
			mustApply(t, other, change("other", "orders", 0))
		}
		faulty.SetFaults(standin.TableFaults{})
		time.Sleep(time.Minute)
		if got, want := cut.View(), other.View(); got.Revision != want.Revision || got.RecordRevisions["stock"] != 1 || got.RecordRevisions["orders"] != 2 {
			t.Errorf("view %+v, want %+v", got, want)
		}
		if revision := mustApply(t, cut, change("3", "stock", 1)); revision != 3 {
			t.Errorf("next change accepted at revision %d, want 3", revision)
		}
	})
}

// lateChanges is the time of the changes after a restore in milliseconds, when its
// window is over.
const lateChanges = 12000

// restoredLogPlans draws plans with restores. An instance that restarts before it has
// written its changes again takes them with it, so the plans have no restarts.
func restoredLogPlans() *rapid.Generator[logPlan] {
	return rapid.Custom(func(t *rapid.T) logPlan {
		plan := logPlans().Draw(t, "plan")
		plan.Restarts = nil
		for i, late := range logPlans().Draw(t, "late").Changes {
			if i < 3 {
				late.At += lateChanges
				plan.Changes = append(plan.Changes, late)
			}
		}
		plan.Restores = restoredKeyPlans().Draw(t, "restores").Restores
		return plan
	})
}

// TestLogHistoriesAcrossRestores guards against a change that is lost, applied twice
// or refused without reason, and a revision that decreases, when the table is restored
// under the faults of TestLogHistories except for restarts.
func TestLogHistoriesAcrossRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plan := restoredLogPlans().Draw(t, "plan")
		rapid.SyncTest(t, func(t *rapid.T) {
			violations, history := runLogPlan(plan, standin.NewTable())
			for _, violation := range violations {
				t.Error(violation)
			}
			if porcupine.CheckOperationsTimeout(logModel.ToModel(), history, 0) == porcupine.Illegal {
				t.Errorf("history is not linearizable: %+v", history)
			}
		})
	})
}

// TestLogRestoreCheckFindsFaults guards against a simulation of restores that detects
// nothing: with a table that hides its era, some plan must have a violation.
func TestLogRestoreCheckFindsFaults(t *testing.T) {
	found := 0
	for seed := range 100 {
		plan := restoredLogPlans().Example(seed)
		synctest.Test(t, func(*testing.T) {
			table := standin.NewTable()
			table.HideEra()
			violations, history := runLogPlan(plan, table)
			if len(violations) > 0 || porcupine.CheckOperationsTimeout(logModel.ToModel(), history, 0) == porcupine.Illegal {
				found++
			}
		})
	}
	t.Logf("%d of 100 plans have a violation", found)
	if found == 0 {
		t.Error("none of 100 plans has a violation")
	}
}
