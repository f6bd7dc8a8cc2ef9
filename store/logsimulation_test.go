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

// A logPlan describes a run of the configuration log: the changes that
// operators apply, the faults and the restarts, with their times in
// milliseconds.
type logPlan struct {
	Changes  []logChange
	Faults   []keyFault
	Restarts []keyCrash
	Restores []keyRestore
}

// A logChange is applied up to Tries times with the same ID, on the base that
// the instance had in force at the first try. At and Deadline are in
// milliseconds.
type logChange struct {
	At, Instance, Service, Deadline, Tries int
	Remove                                 bool
}

const logServices = 2

func logPlans() *rapid.Generator[logPlan] {
	at := rapid.IntRange(0, planDurationMillis)
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
					At:          at.Draw(t, "at"),
					LostAnswers: rapid.IntRange(0, 2).Draw(t, "lose"),
					Latency:     rapid.SampledFrom([]int{0, 5, 70}).Draw(t, "latency"),
					Down:        rapid.IntRange(0, 4).Draw(t, "down") == 0,
					Late:        rapid.IntRange(0, 2).Draw(t, "late") == 0,
					ApplyLate:   rapid.Bool().Draw(t, "apply"),
				}
			}), 0, 6).Draw(t, "faults"),
			Restarts: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) keyCrash {
				return keyCrash{At: at.Draw(t, "at"), Instance: instance.Draw(t, "instance")}
			}), 0, 2).Draw(t, "restarts"),
		}
	})
}

// A logSimulation runs a logPlan.
type logSimulation struct {
	table          savorystep.Table
	faulty         *standin.FaultyTable
	network        *logNetwork
	events         sync.WaitGroup // the changes, faults and restarts
	viewCollectors sync.WaitGroup // the goroutines that collect views

	mu            sync.Mutex
	instances     [planInstances]*logInstance
	startCount    int
	violations    []string
	history       []porcupine.Operation
	observedViews []*savorystep.View
}

// A logInstance is a running instance.
type logInstance struct {
	log    *store.Log
	cancel context.CancelFunc
	done   <-chan error
}

// startInstance starts an instance and collects its views.
func (s *logSimulation) startInstance() *logInstance {
	s.startCount++
	node := s.network.node(savorystep.InstanceID(strconv.Itoa(s.startCount)))
	l := store.NewLog(store.LogConfig{Table: s.faulty, Facts: node, Members: node, Peers: node})
	node.setLog(l)
	ctx, cancel := context.WithCancel(context.Background())
	s.viewCollectors.Go(func() {
		for last := savorystep.Revision(0); l.Wait(ctx, last+1) == nil; {
			view := l.View()
			s.mu.Lock()
			if view.Revision <= last {
				s.violations = append(s.violations, fmt.Sprintf("revision %d in force after revision %d", view.Revision, last))
			}
			s.observedViews = append(s.observedViews, view)
			s.mu.Unlock()
			last = view.Revision
		}
	})
	return &logInstance{log: l, cancel: cancel, done: l.Start(ctx)}
}

// stop stops an instance.
func (s *logSimulation) stop(instance *logInstance) {
	instance.cancel()
	if err := <-instance.done; err != nil {
		s.addViolation("instance stopped with error: %v", err)
	}
}

func (s *logSimulation) addViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// restart replaces an instance by a new one with another ID.
func (s *logSimulation) restart(instance int) {
	s.mu.Lock()
	replaced := s.instances[instance]
	s.instances[instance] = s.startInstance()
	s.mu.Unlock()
	s.stop(replaced)
}

// runLogPlan runs a plan in a synctest bubble and returns the violations and
// the history.
func runLogPlan(plan logPlan, table savorystep.Table) (violations []string, history []porcupine.Operation) {
	s := &logSimulation{table: table, faulty: standin.NewFaultyTable(table), network: newLogNetwork()}
	for i := range s.instances {
		s.instances[i] = s.startInstance()
	}
	after := func(ms int, f func()) {
		s.events.Go(func() {
			time.Sleep(time.Duration(ms) * time.Millisecond)
			f()
		})
	}
	for i, c := range plan.Changes {
		after(c.At, func() { s.change(i, c) })
	}
	for _, fault := range plan.Faults {
		after(fault.At, func() { (&keySimulation{faulty: s.faulty}).fault(fault) })
	}
	for _, restart := range plan.Restarts {
		after(restart.At, func() { s.restart(restart.Instance) })
	}
	for _, restore := range plan.Restores {
		after(restore.At, func() { restore.apply(table) })
	}
	time.Sleep(planDurationMillis * time.Millisecond)
	s.faulty.SetFaults(standin.TableFaults{})
	_ = s.faulty.ApplyHeldCommits(context.Background()) // A commit that conflicts is no error.
	s.events.Wait()
	time.Sleep(10 * time.Second)
	s.checkEnd()
	for _, instance := range s.instances {
		s.stop(instance)
	}
	s.viewCollectors.Wait()
	return s.violations, s.history
}

// A logOp is a change with its outcome: its revision, or 0 if it was refused.
// An unknown outcome may be either.
type logOp struct {
	change, service int
	remove          bool
	base, revision  savorystep.Revision
	unknown         bool
}

// change applies a change and tries again after an unknown outcome.
func (s *logSimulation) change(i int, c logChange) {
	s.mu.Lock()
	l := s.instances[c.Instance].log
	s.mu.Unlock()
	service := savorystep.Service(strconv.Itoa(c.Service))
	proposal := change(strconv.Itoa(i), service, l.View().RecordRevisions[service])
	if c.Remove {
		proposal.Record = nil
	}
	op := logOp{change: i, service: c.Service, remove: c.Remove, base: proposal.BaseRevision, unknown: true}
	calledAt := time.Now().UnixNano()
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
			s.addViolation("Apply failed with an unexpected kind: %v", err)
		}
	}
	operation := porcupine.Operation{Input: op, Call: calledAt, Return: time.Now().UnixNano()}
	if op.unknown {
		operation.Return = math.MaxInt64
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = append(s.history, operation)
}

// checkEnd checks that all instances have the head in force and that each
// collected view was the configuration of its revision.
func (s *logSimulation) checkEnd() {
	rows, err := s.table.Scan(context.Background(), "change/", "", 1000)
	if err != nil {
		s.addViolation("scan the changes: %v", err)
		return
	}
	for i, instance := range s.instances {
		if revision := instance.log.View().Revision; int(revision) != len(rows) {
			s.addViolation("instance %d is at revision %d, want %d", i, revision, len(rows))
		}
	}
	history, err := s.instances[0].log.History(context.Background(), "", 1000)
	if err != nil {
		s.addViolation("read the history: %v", err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, view := range s.observedViews {
		versions := versionsAt(history, view.Revision)
		if fmt.Sprint(versions) != fmt.Sprint(view.RecordRevisions) {
			s.violations = append(s.violations, fmt.Sprintf("revision %d has versions %v, want %v", view.Revision, view.RecordRevisions, versions))
		}
	}
}

// versionsAt returns the versions of the records at a revision. The history
// starts with the newest change.
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

// A logModelState holds the head and the versions of the records.
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
// a revision that decreases, and an instance that does not catch up.
func TestLogHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plan := logPlans().Draw(t, "plan")
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

// TestLogCheckFindsFaults guards against a simulation that detects nothing:
// with commits that ignore their conditions, some plan must have a violation.
func TestLogCheckFindsFaults(t *testing.T) {
	for seed := range 500 {
		plan := logPlans().Example(seed)
		found := false
		synctest.Test(t, func(*testing.T) {
			violations, history := runLogPlan(plan, unconditionalTable{standin.NewTable()})
			found = len(violations) > 0 ||
				porcupine.CheckOperationsTimeout(logModel.ToModel(), history, 0) == porcupine.Illegal
		})
		if found {
			t.Logf("violation found with seed %d", seed)
			return
		}
	}
	t.Error("none of 500 plans has a violation with commits that ignore their conditions")
}
