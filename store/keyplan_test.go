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

// A keyPlan is a run of the key ledger: sends of keyed requests, faults and
// crashes at given times in milliseconds.
type keyPlan struct {
	Sends   []keySend
	Faults  []keyFault
	Crashes []keyCrash
}

// The ways in which a send ends once it has the permission.
const (
	endComplete = iota
	endRelease
	endVanish // The upstream died, the outcome stays unknown.
	endCount
)

type keySend struct {
	At, Instance, Key, Deadline, Pause, End int
	Large                                   bool
}

type keyFault struct {
	At, Lose, Latency int
	Down, Late        bool
	ApplyLate         bool
}

type keyCrash struct {
	At, Instance int
}

const (
	planInstances = 3
	planKeys      = 2
	planHorizon   = 3000 // milliseconds
)

func keyPlans() *rapid.Generator[keyPlan] {
	at := rapid.IntRange(0, planHorizon)
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
					At:        at.Draw(t, "at"),
					Lose:      rapid.IntRange(0, 3).Draw(t, "lose"),
					Latency:   rapid.SampledFrom([]int{0, 5, 70}).Draw(t, "latency"),
					Down:      rapid.IntRange(0, 4).Draw(t, "down") == 0,
					Late:      rapid.IntRange(0, 2).Draw(t, "late") == 0,
					ApplyLate: rapid.Bool().Draw(t, "apply"),
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

// A keyWorld runs a keyPlan.
type keyWorld struct {
	faulty  *standin.FaultyTable
	objects savorystep.Objects
	wait    sync.WaitGroup

	mu         sync.Mutex
	nodes      [planInstances]*keyNode
	runs       [planKeys]int
	lost       [planKeys]bool // a crash or a lost outcome may hold the key
	violations []string
	history    []porcupine.Operation
}

// A keyNode is one instance.
type keyNode struct {
	keys   *store.Keys
	ctx    context.Context //nolint:containedctx // The life of a simulated process.
	cancel context.CancelFunc
	done   <-chan error
}

func (w *keyWorld) newNode() *keyNode {
	ctx, cancel := context.WithCancel(context.Background())
	keys := store.NewKeys(store.KeysConfig{Table: w.faulty, Objects: w.objects, Inline: 64})
	return &keyNode{keys: keys, ctx: ctx, cancel: cancel, done: keys.Start(ctx)}
}

func (w *keyWorld) violate(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// runKeyPlan runs a plan in a bubble with a table that may be broken. It
// returns what went wrong and the history.
func runKeyPlan(plan keyPlan, table savorystep.Table) (violations []string, history []porcupine.Operation) {
	w := &keyWorld{faulty: standin.NewFaultyTable(table), objects: standin.NewObjects()}
	for i := range w.nodes {
		w.nodes[i] = w.newNode()
	}
	after := func(ms int, f func()) {
		w.wait.Go(func() {
			time.Sleep(time.Duration(ms) * time.Millisecond)
			f()
		})
	}
	for i, send := range plan.Sends {
		after(send.At, func() { w.send(i, send) })
	}
	for _, fault := range plan.Faults {
		after(fault.At, func() { w.fault(fault) })
	}
	for _, crash := range plan.Crashes {
		after(crash.At, func() { w.crash(crash.Instance) })
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
	return w.violations, w.history
}

func (w *keyWorld) fault(fault keyFault) {
	if fault.ApplyLate {
		_ = w.faulty.ApplyLate(context.Background()) // A commit that conflicts is no error.
	}
	if fault.At < planHorizon {
		w.faulty.SetFaults(standin.TableFaults{
			Down:        fault.Down,
			LoseAnswers: fault.Lose,
			Late:        fault.Late,
			Latency:     time.Duration(fault.Latency) * time.Millisecond,
		})
	}
}

// crash replaces an instance. Its attempts may hold any key.
func (w *keyWorld) crash(instance int) {
	w.mu.Lock()
	node := w.nodes[instance]
	w.nodes[instance] = w.newNode()
	for key := range w.lost {
		w.lost[key] = true
	}
	w.mu.Unlock()
	w.stop(node)
}

// stop ends an instance.
func (w *keyWorld) stop(node *keyNode) {
	node.cancel()
	if err := <-node.done; err != nil {
		w.violate("the instance failed: %v", err)
	}
}

// note adds an operation to the history. An unknown outcome may come about at
// any later time.
func (w *keyWorld) note(call time.Time, op keyOp, unknown bool) {
	op.unknown = unknown
	operation := porcupine.Operation{Input: op, Call: call.UnixNano(), Return: time.Now().UnixNano()}
	if unknown {
		operation.Return = math.MaxInt64
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.history = append(w.history, operation)
}

// send sends one keyed request through an instance.
func (w *keyWorld) send(id int, send keySend) {
	w.mu.Lock()
	node := w.nodes[send.Instance]
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(node.ctx, time.Duration(send.Deadline)*time.Millisecond)
	defer cancel()
	op := keyOp{key: send.Key, send: id}
	call := time.Now()
	attempt, err := node.keys.Begin(ctx, "orders", savorystep.IdempotencyKey(strconv.Itoa(send.Key)), 1)
	if err != nil {
		w.checkRefusal(err)
		return
	}
	if answer := attempt.StoredResponse(); answer != nil {
		op.kind, op.run = opAnswered, answer.Status
		w.note(call, op, false)
		return
	}
	op.kind = opGranted
	w.note(call, op, false)
	time.Sleep(time.Duration(send.Pause) * time.Millisecond)
	if node.ctx.Err() != nil {
		return
	}
	w.finish(node, attempt, op, send)
}

// finish releases or runs a request that has the permission.
func (w *keyWorld) finish(node *keyNode, attempt savorystep.KeyedAttempt, op keyOp, send keySend) {
	ctx, cancel := context.WithTimeout(node.ctx, 500*time.Millisecond)
	defer cancel()
	call := time.Now()
	if send.End == endRelease {
		op.kind = opRelease
		w.note(call, op, attempt.Release(ctx) != nil)
		return
	}
	op.kind, op.run = opRun, 1000+op.send
	w.note(call, op, false)
	w.mu.Lock()
	w.runs[send.Key]++
	w.mu.Unlock()
	if send.End == endVanish {
		w.mu.Lock()
		w.lost[send.Key] = true
		w.mu.Unlock()
		return
	}
	answer := savorystep.StoredResponse{Status: op.run, Body: []byte("short")}
	if send.Large {
		answer.Body = make([]byte, 100)
	}
	op.kind = opComplete
	w.note(call, op, attempt.Complete(ctx, answer) != nil)
}

// checkRefusal guards against a kind that says that the request did not run,
// except when the platform is down.
func (w *keyWorld) checkRefusal(err error) {
	switch kind := savorystep.KindOf(err); kind {
	case savorystep.KindInProgress, savorystep.KindOutcomeUnknown, savorystep.KindPlatformDown:
	default:
		w.violate("Begin = %v", err)
	}
}

// checkEnd checks the rows once all faults are over.
func (w *keyWorld) checkEnd() {
	for key := range planKeys {
		if w.runs[key] > 1 {
			w.violate("key %d ran %d times", key, w.runs[key])
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		attempt, err := w.nodes[0].keys.Begin(ctx, "orders", savorystep.IdempotencyKey(strconv.Itoa(key)), 1)
		cancel()
		switch {
		case err != nil && !w.lost[key]:
			w.violate("key %d stays taken: %v", key, err)
		case err == nil && attempt.StoredResponse() == nil && w.runs[key] > 0:
			w.violate("key %d is free after it ran", key)
		case err == nil && attempt.StoredResponse() != nil && w.runs[key] == 0:
			w.violate("key %d has an answer without a run", key)
		}
	}
}

// The operations of a key's history.
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

// A keyState is the state of a key: free if holder is 0, held by a send, or
// done with the answer of a run.
type keyState struct {
	holder, run int
}

// keyModel is the sequential specification of one key. An operation whose
// outcome is unknown may also have no effect.
var keyModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := make([][]porcupine.Operation, planKeys)
		for _, operation := range history {
			key := operation.Input.(keyOp).key
			parts[key] = append(parts[key], operation)
		}
		return parts
	},
	Init: func() []any { return []any{keyState{}} },
	Step: func(state, input, _ any) []any {
		s, op := state.(keyState), input.(keyOp)
		held := s.holder == op.send+1 && s.run == 0
		switch {
		case op.kind == opGranted && s == keyState{}:
			return []any{keyState{holder: op.send + 1}}
		case op.kind == opAnswered && s.run == op.run, op.kind == opRun && held:
			return []any{s}
		case op.kind == opComplete && held && !op.unknown:
			return []any{keyState{holder: s.holder, run: op.run}}
		case op.kind == opComplete && held:
			return []any{s, keyState{holder: s.holder, run: op.run}}
		case op.kind == opRelease && held && !op.unknown:
			return []any{keyState{}}
		case op.kind == opRelease && held:
			return []any{s, keyState{}}
		case op.unknown:
			return []any{s}
		default:
			return nil
		}
	},
}

// TestKeysAtMostOnce guards against a second run of a keyed request, a key that
// stays taken without need and a history that no order of its operations
// explains, under lost answers, late commits, outages, slow calls, pauses and
// crashes.
func TestKeysAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plan := keyPlans().Draw(t, "plan")
		rapid.SyncTest(t, func(t *rapid.T) {
			violations, history := runKeyPlan(plan, standin.NewTable())
			for _, violation := range violations {
				t.Error(violation)
			}
			if porcupine.CheckOperationsTimeout(keyModel.ToModel(), history, 0) == porcupine.Illegal {
				t.Errorf("no order explains the history: %+v", history)
			}
		})
	})
}

// TestKeysCheckFindsFaults guards against a check that finds nothing: with each
// broken table some plan has a violation.
func TestKeysCheckFindsFaults(t *testing.T) {
	cases := []struct {
		name  string
		table func(*standin.Table) savorystep.Table
	}{
		{name: "commits without conditions", table: func(table *standin.Table) savorystep.Table { return blindTable{table} }},
		{name: "rows that forget their attempt", table: func(table *standin.Table) savorystep.Table { return sameAttemptTable{table} }},
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
					t.Logf("found with seed %d", seed)
					return
				}
			}
			t.Error("no plan finds the fault")
		})
	}
}
