package store_test

import (
	"context"
	"fmt"
	"math"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"savorystep"
	"savorystep/standin"
	"savorystep/store"
)

// A logPlan is a run of the configuration log: changes that operators apply,
// faults and restarts at given times in milliseconds.
type logPlan struct {
	Changes  []logChange
	Faults   []keyFault
	Restarts []keyCrash
}

// A logChange is applied up to Tries times with the same ID, on the base that
// the instance has in force at the first time.
type logChange struct {
	At, Instance, Service, Deadline, Tries int
	Remove                                 bool
}

const logServices = 2

func logPlans() *rapid.Generator[logPlan] {
	at := rapid.IntRange(0, planHorizon)
	instance := rapid.IntRange(0, planInstances-1)
	return rapid.Custom(func(t *rapid.T) logPlan {
		return logPlan{
			Changes: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) logChange {
				return logChange{
					At:       at.Draw(t, "at"),
					Instance: instance.Draw(t, "instance"),
					Service:  rapid.IntRange(0, logServices-1).Draw(t, "service"),
					Deadline: rapid.SampledFrom([]int{20, 200, 1000}).Draw(t, "deadline"),
					Tries:    rapid.IntRange(1, 3).Draw(t, "tries"),
					Remove:   rapid.IntRange(0, 4).Draw(t, "remove") == 0,
				}
			}), 2, 10).Draw(t, "changes"),
			Faults: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) keyFault {
				return keyFault{
					At:        at.Draw(t, "at"),
					Lose:      rapid.IntRange(0, 2).Draw(t, "lose"),
					Latency:   rapid.SampledFrom([]int{0, 5, 70}).Draw(t, "latency"),
					Down:      rapid.IntRange(0, 4).Draw(t, "down") == 0,
					Late:      rapid.IntRange(0, 2).Draw(t, "late") == 0,
					ApplyLate: rapid.Bool().Draw(t, "apply"),
				}
			}), 0, 6).Draw(t, "faults"),
			Restarts: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) keyCrash {
				return keyCrash{At: at.Draw(t, "at"), Instance: instance.Draw(t, "instance")}
			}), 0, 2).Draw(t, "restarts"),
		}
	})
}

// A logWorld runs a logPlan.
type logWorld struct {
	table  savorystep.Table
	faulty *standin.FaultyTable
	net    *logNet
	wait   sync.WaitGroup // the changes, faults and restarts
	views  sync.WaitGroup // the collection of views

	mu         sync.Mutex
	nodes      [planInstances]*logProcess
	starts     int
	violations []string
	history    []porcupine.Operation
	seen       []*savorystep.View
}

// A logProcess is one instance.
type logProcess struct {
	log    *store.Log
	cancel context.CancelFunc
	done   <-chan error
}

// newProcess starts an instance and collects its views.
func (w *logWorld) newProcess() *logProcess {
	w.starts++
	node := w.net.node(savorystep.InstanceID(strconv.Itoa(w.starts)))
	l := store.NewLog(store.LogConfig{Table: w.faulty, Facts: node, Members: node, Peers: node})
	node.setLog(l)
	ctx, cancel := context.WithCancel(context.Background())
	w.views.Go(func() {
		for last := savorystep.Revision(0); l.Wait(ctx, last+1) == nil; {
			view := l.View()
			w.mu.Lock()
			if view.Revision <= last {
				w.violations = append(w.violations, fmt.Sprintf("revision %d after %d", view.Revision, last))
			}
			w.seen = append(w.seen, view)
			w.mu.Unlock()
			last = view.Revision
		}
	})
	return &logProcess{log: l, cancel: cancel, done: l.Start(ctx)}
}

// stop ends an instance.
func (w *logWorld) stop(p *logProcess) {
	p.cancel()
	if err := <-p.done; err != nil {
		w.violate("the instance failed: %v", err)
	}
}

func (w *logWorld) violate(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// restart replaces an instance. Its ID is not used again.
func (w *logWorld) restart(instance int) {
	w.mu.Lock()
	older := w.nodes[instance]
	w.nodes[instance] = w.newProcess()
	w.mu.Unlock()
	w.stop(older)
}

// runLogPlan runs a plan in a bubble and returns what went wrong and the
// history.
func runLogPlan(plan logPlan, table savorystep.Table) (violations []string, history []porcupine.Operation) {
	w := &logWorld{table: table, faulty: standin.NewFaultyTable(table), net: newLogNet()}
	for i := range w.nodes {
		w.nodes[i] = w.newProcess()
	}
	after := func(ms int, f func()) {
		w.wait.Go(func() {
			time.Sleep(time.Duration(ms) * time.Millisecond)
			f()
		})
	}
	for i, c := range plan.Changes {
		after(c.At, func() { w.change(i, c) })
	}
	for _, fault := range plan.Faults {
		after(fault.At, func() { (&keyWorld{faulty: w.faulty}).fault(fault) })
	}
	for _, restart := range plan.Restarts {
		after(restart.At, func() { w.restart(restart.Instance) })
	}
	time.Sleep(planHorizon * time.Millisecond)
	w.faulty.SetFaults(standin.TableFaults{})
	_ = w.faulty.ApplyLate(context.Background()) // A commit that conflicts is no error.
	w.wait.Wait()
	time.Sleep(10 * time.Second)
	w.checkEnd()
	for _, node := range w.nodes {
		w.stop(node)
	}
	w.views.Wait()
	return w.violations, w.history
}

// A logOp is one change with its outcome: the revision, or 0 if it was refused.
// An unknown outcome is either.
type logOp struct {
	change, service int
	remove          bool
	base, revision  savorystep.Revision
	unknown         bool
}

// change applies a change, again after an unknown outcome.
func (w *logWorld) change(i int, c logChange) {
	w.mu.Lock()
	l := w.nodes[c.Instance].log
	w.mu.Unlock()
	service := savorystep.Service(strconv.Itoa(c.Service))
	proposal := change(strconv.Itoa(i), service, l.View().RecordRevisions[service])
	if c.Remove {
		proposal.Record = nil
	}
	op := logOp{change: i, service: c.Service, remove: c.Remove, base: proposal.BaseRevision, unknown: true}
	call := time.Now().UnixNano()
	for try := 0; try < c.Tries && op.unknown; try++ {
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(c.Deadline)*time.Millisecond)
		revision, err := l.Apply(ctx, proposal)
		cancel()
		switch savorystep.KindOf(err) {
		case savorystep.KindNone:
			op.revision, op.unknown = revision, false
		case savorystep.KindVersionConflict, savorystep.KindNotFound:
			op.unknown = false
		case savorystep.KindPlatformDown:
		default:
			w.violate("Apply = %v", err)
		}
	}
	operation := porcupine.Operation{Input: op, Call: call, Return: time.Now().UnixNano()}
	if op.unknown {
		operation.Return = math.MaxInt64
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.history = append(w.history, operation)
}

// checkEnd checks that all instances have the head in force and that each view
// was the configuration of its revision.
func (w *logWorld) checkEnd() {
	rows, err := w.table.Scan(context.Background(), "change/", "", 1000)
	if err != nil {
		w.violate("%v", err)
		return
	}
	for i, node := range w.nodes {
		if revision := node.log.View().Revision; int(revision) != len(rows) {
			w.violate("instance %d is at revision %d of %d", i, revision, len(rows))
		}
	}
	history, err := w.nodes[0].log.History(context.Background(), "", 1000)
	if err != nil {
		w.violate("%v", err)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, view := range w.seen {
		versions := versionsAt(history, view.Revision)
		if fmt.Sprint(versions) != fmt.Sprint(view.RecordRevisions) {
			w.violations = append(w.violations, fmt.Sprintf("revision %d has versions %v, want %v", view.Revision, view.RecordRevisions, versions))
		}
	}
}

// versionsAt returns the versions of the records at a revision, from a history
// with the newest change first.
func versionsAt(history []savorystep.Change, revision savorystep.Revision) map[savorystep.Service]savorystep.Revision {
	versions := map[savorystep.Service]savorystep.Revision{}
	for i := len(history) - 1; i >= 0; i-- {
		if change := history[i]; change.Revision <= revision {
			if versions[change.Service] = change.Revision; change.Record == nil {
				delete(versions, change.Service)
			}
		}
	}
	return versions
}

// A logModelState is the head and the versions of the records.
type logModelState struct {
	head     savorystep.Revision
	versions [logServices]savorystep.Revision
}

// logModel is the sequential specification of the configuration log.
var logModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{logModelState{}} },
	Step: func(state, input, _ any) []any {
		s, op := state.(logModelState), input.(logOp)
		fits := s.versions[op.service] == op.base && (!op.remove || op.base != 0)
		next := s
		next.head++
		next.versions[op.service] = next.head
		if op.remove {
			next.versions[op.service] = 0
		}
		switch {
		case op.unknown && fits:
			return []any{s, next}
		case op.unknown, op.revision == 0 && !fits:
			return []any{s}
		case op.revision == next.head && fits:
			return []any{next}
		default:
			return nil
		}
	},
}

// TestLogHistories guards against a change that is lost, applied twice or
// refused without reason, a view that is not the configuration of its revision,
// a revision that goes down, and an instance that does not catch up.
func TestLogHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plan := logPlans().Draw(t, "plan")
		rapid.SyncTest(t, func(t *rapid.T) {
			violations, history := runLogPlan(plan, standin.NewTable())
			for _, violation := range violations {
				t.Error(violation)
			}
			if porcupine.CheckOperationsTimeout(logModel.ToModel(), history, 0) == porcupine.Illegal {
				t.Errorf("no order explains the history: %+v", history)
			}
		})
	})
}

// TestLogCheckFindsFaults guards against a check that finds nothing.
func TestLogCheckFindsFaults(t *testing.T) {
	for seed := range 500 {
		plan := logPlans().Example(seed)
		found := false
		synctest.Test(t, func(*testing.T) {
			violations, history := runLogPlan(plan, blindTable{standin.NewTable()})
			found = len(violations) > 0 ||
				porcupine.CheckOperationsTimeout(logModel.ToModel(), history, 0) == porcupine.Illegal
		})
		if found {
			t.Logf("found with seed %d", seed)
			return
		}
	}
	t.Error("no plan finds commits without conditions")
}
