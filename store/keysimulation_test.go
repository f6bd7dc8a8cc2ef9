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

// A keyPlan describes a run of the idempotency store: keyed requests, faults and
// crashes, with their times in milliseconds.
type keyPlan struct {
	Sends    []keySend
	Faults   []keyFault
	Crashes  []keyCrash
	Restores []keyRestore
	// RestoreWindow is that of the store. 0 means the default.
	RestoreWindow time.Duration
}

// What happens to a request after it got the permission.
const (
	endComplete = iota
	endRelease
	endUnknown // The upstream crashed, so the outcome stays unknown.
	endCount
)

type keySend struct {
	At, Instance, Key, Deadline, Pause, End int
	Large                                   bool
}

type keyFault struct {
	At, LostAnswers, Latency int
	Down, Late               bool
	ApplyLate                bool
}

type keyCrash struct {
	At, Instance int
}

const (
	planInstances      = 3
	planKeys           = 2
	planDurationMillis = 3000
)

func keyPlans() *rapid.Generator[keyPlan] {
	at := rapid.IntRange(0, planDurationMillis)
	return rapid.Custom(func(t *rapid.T) keyPlan {
		return keyPlan{
			Sends: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) keySend {
				return keySend{
					At:       at.Draw(t, "at"),
					Instance: rapid.IntRange(0, planInstances-1).Draw(t, "instance"),
					Key:      rapid.IntRange(0, planKeys-1).Draw(t, "key"),
					Deadline: rapid.SampledFrom([]int{20, 200, 2000}).Draw(t, "deadline"),
					Pause:    rapid.SampledFrom([]int{0, 10, 1000}).Draw(t, "pause"),
					End:      rapid.IntRange(0, endCount-1).Draw(t, "end"),
					Large:    rapid.Bool().Draw(t, "large"),
				}
			}), 2, 12).Draw(t, "sends"),
			Faults: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) keyFault {
				return keyFault{
					At:          at.Draw(t, "at"),
					LostAnswers: rapid.IntRange(0, 3).Draw(t, "lose"),
					Latency:     rapid.SampledFrom([]int{0, 5, 70}).Draw(t, "latency"),
					Down:        rapid.IntRange(0, 4).Draw(t, "down") == 0,
					Late:        rapid.IntRange(0, 2).Draw(t, "late") == 0,
					ApplyLate:   rapid.Bool().Draw(t, "apply"),
				}
			}), 0, 8).Draw(t, "faults"),
			Crashes: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) keyCrash {
				return keyCrash{
					At:       at.Draw(t, "at"),
					Instance: rapid.IntRange(0, planInstances-1).Draw(t, "instance"),
				}
			}), 0, 2).Draw(t, "crashes"),
		}
	})
}

// A keySimulation runs a keyPlan.
type keySimulation struct {
	faulty        *standin.FaultyTable
	objects       savorystep.Objects
	restoreWindow time.Duration
	events        sync.WaitGroup

	mu         sync.Mutex
	instances  [planInstances]*keyInstance
	runs       [planKeys]int
	mayBeHeld  [planKeys]bool // a crash or an unknown outcome may hold the key
	violations []string
	history    []porcupine.Operation
}

// A keyInstance is a running instance.
type keyInstance struct {
	keys   *store.IdempotencyStore
	ctx    context.Context //nolint:containedctx // The life of a simulated process.
	cancel context.CancelFunc
	done   <-chan error
}

func (s *keySimulation) newInstance() *keyInstance {
	ctx, cancel := context.WithCancel(context.Background())
	keys := store.NewIdempotencyStore(store.IdempotencyStoreConfig{
		Table: s.faulty, Objects: s.objects, MaxInlineBytes: 64, RestoreWindow: s.restoreWindow,
	})
	return &keyInstance{keys: keys, ctx: ctx, cancel: cancel, done: keys.Start(ctx)}
}

func (s *keySimulation) addViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// runKeyPlan runs a plan in a synctest bubble, with a table that may be faulty.
// It returns the violations and the history.
func runKeyPlan(plan keyPlan, table savorystep.Table) (violations []string, history []porcupine.Operation) {
	s := &keySimulation{faulty: standin.NewFaultyTable(table), objects: standin.NewObjects(), restoreWindow: plan.RestoreWindow}
	for i := range s.instances {
		s.instances[i] = s.newInstance()
	}
	after := func(ms int, f func()) {
		s.events.Go(func() {
			time.Sleep(time.Duration(ms) * time.Millisecond)
			f()
		})
	}
	for i, send := range plan.Sends {
		after(send.At, func() { s.send(i, send) })
	}
	for _, fault := range plan.Faults {
		after(fault.At, func() { s.fault(fault) })
	}
	for _, crash := range plan.Crashes {
		after(crash.At, func() { s.crash(crash.Instance) })
	}
	for _, restore := range plan.Restores {
		after(restore.At, func() { restore.apply(table) })
	}
	time.Sleep(planDurationMillis * time.Millisecond)
	s.faulty.SetFaults(standin.TableFaults{})
	_ = s.faulty.ApplyHeldCommits(context.Background()) // A commit that conflicts is no error.
	s.events.Wait()
	time.Sleep(10 * time.Second)
	if len(plan.Restores) > 0 {
		time.Sleep(lostKeyAge)
	}
	s.checkEnd()
	for _, instance := range s.instances {
		s.stop(instance)
	}
	return s.violations, s.history
}

func (s *keySimulation) fault(fault keyFault) {
	if fault.ApplyLate {
		_ = s.faulty.ApplyHeldCommits(context.Background()) // A commit that conflicts is no error.
	}
	if fault.At < planDurationMillis {
		s.faulty.SetFaults(standin.TableFaults{
			Down:          fault.Down,
			LoseResponses: fault.LostAnswers,
			HoldCommits:   fault.Late,
			Latency:       time.Duration(fault.Latency) * time.Millisecond,
		})
	}
}

// crash replaces an instance. Its attempts may hold any key.
func (s *keySimulation) crash(instance int) {
	s.mu.Lock()
	replaced := s.instances[instance]
	s.instances[instance] = s.newInstance()
	for key := range s.mayBeHeld {
		s.mayBeHeld[key] = true
	}
	s.mu.Unlock()
	s.stop(replaced)
}

// stop stops an instance.
func (s *keySimulation) stop(instance *keyInstance) {
	instance.cancel()
	if err := <-instance.done; err != nil {
		s.addViolation("instance stopped with error: %v", err)
	}
}

// recordOperation adds an operation to the history. An operation with an
// unknown outcome may take effect at any later time.
func (s *keySimulation) recordOperation(calledAt time.Time, op keyOp, unknown bool) {
	op.unknown = unknown
	operation := porcupine.Operation{Input: op, Call: calledAt.UnixNano(), Return: time.Now().UnixNano()}
	if unknown {
		operation.Return = math.MaxInt64
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = append(s.history, operation)
}

// send sends a keyed request through an instance.
func (s *keySimulation) send(id int, send keySend) {
	s.mu.Lock()
	instance := s.instances[send.Instance]
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(instance.ctx, time.Duration(send.Deadline)*time.Millisecond)
	defer cancel()
	op := keyOp{key: send.Key, send: id}
	calledAt := time.Now()
	attempt, err := instance.keys.Begin(ctx, "orders", savorystep.IdempotencyKey(strconv.Itoa(send.Key)), 1)
	if err != nil {
		s.checkRefusal(err)
		return
	}
	if response := attempt.StoredResponse(); response != nil {
		op.kind, op.run = opAnswered, response.Status
		s.recordOperation(calledAt, op, false)
		return
	}
	op.kind = opGranted
	s.recordOperation(calledAt, op, false)
	time.Sleep(time.Duration(send.Pause) * time.Millisecond)
	if instance.ctx.Err() != nil {
		return
	}
	s.finish(instance, attempt, op, send)
}

// finish releases or runs a request that has the permission.
func (s *keySimulation) finish(instance *keyInstance, attempt savorystep.KeyedAttempt, op keyOp, send keySend) {
	ctx, cancel := context.WithTimeout(instance.ctx, 500*time.Millisecond)
	defer cancel()
	calledAt := time.Now()
	if send.End == endRelease {
		op.kind = opRelease
		s.recordOperation(calledAt, op, attempt.Release(ctx) != nil)
		return
	}
	op.kind, op.run = opRun, 1000+op.send
	s.recordOperation(calledAt, op, false)
	s.mu.Lock()
	s.runs[send.Key]++
	s.mu.Unlock()
	if send.End == endUnknown {
		s.mu.Lock()
		s.mayBeHeld[send.Key] = true
		s.mu.Unlock()
		return
	}
	response := savorystep.StoredResponse{Status: op.run, Body: []byte("short")}
	if send.Large {
		response.Body = make([]byte, 100)
	}
	op.kind = opComplete
	s.recordOperation(calledAt, op, attempt.Complete(ctx, response) != nil)
}

// checkRefusal records a violation if Begin failed with an unexpected kind of
// error.
func (s *keySimulation) checkRefusal(err error) {
	switch kind := savorystep.KindOf(err); kind {
	case savorystep.KindInProgress, savorystep.KindOutcomeUnknown, savorystep.KindPlatformDown:
	default:
		s.addViolation("Begin failed with an unexpected kind: %v", err)
	}
}

// checkEnd checks the keys once all faults are over.
func (s *keySimulation) checkEnd() {
	for key := range planKeys {
		if s.runs[key] > 1 {
			s.addViolation("key %d ran %d times, want at most once", key, s.runs[key])
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		attempt, err := s.instances[0].keys.Begin(ctx, "orders", savorystep.IdempotencyKey(strconv.Itoa(key)), 1)
		cancel()
		switch {
		case err != nil && !s.mayBeHeld[key]:
			s.addViolation("key %d stays taken: %v", key, err)
		case err == nil && attempt.StoredResponse() == nil && s.runs[key] > 0:
			s.addViolation("key %d is free after it ran", key)
		case err == nil && attempt.StoredResponse() != nil && s.runs[key] == 0:
			s.addViolation("key %d has a response without a run", key)
		}
	}
}

// The operations in the history of a key.
const (
	opGranted = iota
	opAnswered
	opRun
	opComplete
	opRelease
)

type keyOp struct {
	key, send, kind, run int
	unknown              bool
}

// A keyModelState is the state of a key: free if holder is 0, held by a send,
// or completed with the response of a run.
type keyModelState struct {
	holder, run int
}

// keyModel is the sequential specification of one key. An operation with an
// unknown outcome may also have no effect.
var keyModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := make([][]porcupine.Operation, planKeys)
		for _, operation := range history {
			key := operation.Input.(keyOp).key
			parts[key] = append(parts[key], operation)
		}
		return parts
	},
	Init: func() []any { return []any{keyModelState{}} },
	Step: func(state, input, _ any) []any {
		s, op := state.(keyModelState), input.(keyOp)
		held := s.holder == op.send+1 && s.run == 0
		switch {
		case op.kind == opGranted && s == keyModelState{}:
			return []any{keyModelState{holder: op.send + 1}}
		case op.kind == opAnswered && s.run == op.run, op.kind == opRun && held:
			return []any{s}
		case op.kind == opComplete && held && !op.unknown:
			return []any{keyModelState{holder: s.holder, run: op.run}}
		case op.kind == opComplete && held:
			return []any{s, keyModelState{holder: s.holder, run: op.run}}
		case op.kind == opRelease && held && !op.unknown:
			return []any{keyModelState{}}
		case op.kind == opRelease && held:
			return []any{s, keyModelState{}}
		case op.unknown:
			return []any{s}
		default:
			return nil
		}
	},
}

// TestKeysAtMostOnce guards against a second run of a keyed request, a key that
// stays taken without need, and a history that is not linearizable, under lost
// responses, late commits, outages, slow calls, pauses and crashes.
func TestKeysAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plan := keyPlans().Draw(t, "plan")
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

// TestKeysCheckFindsFaults guards against a simulation that detects nothing:
// with each faulty table, some plan must have a violation.
func TestKeysCheckFindsFaults(t *testing.T) {
	cases := []struct {
		name  string
		table func(*standin.Table) savorystep.Table
	}{
		{name: "commits without conditions", table: func(table *standin.Table) savorystep.Table { return unconditionalTable{table} }},
		{name: "rows that forget their attempt", table: func(table *standin.Table) savorystep.Table { return conflictEchoTable{table} }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := range 500 {
				plan := keyPlans().Example(seed)
				found := false
				synctest.Test(t, func(*testing.T) {
					violations, history := runKeyPlan(plan, c.table(standin.NewTable()))
					found = len(violations) > 0 ||
						porcupine.CheckOperationsTimeout(keyModel.ToModel(), history, 0) == porcupine.Illegal
				})
				if found {
					t.Logf("violation found with seed %d", seed)
					return
				}
			}
			t.Error("none of 500 plans has a violation with the faulty table")
		})
	}
}
