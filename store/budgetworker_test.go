package store

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"savorystep"
	"savorystep/standin"
)

// A fakeClock is a clock that the test advances.
type fakeClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *fakeClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *fakeClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// A countingTable counts the calls of a table.
type countingTable struct {
	savorystep.Table
	mu                                     sync.Mutex
	commits, conflicts, reads, writtenRows int
}

// Commit counts transactions with and without conflicts and the rows written.
func (t *countingTable) Commit(ctx context.Context, txn savorystep.Txn) (savorystep.CommitResult, error) {
	commit, err := t.Table.Commit(ctx, txn)
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(commit.Conflicts) > 0 {
		t.conflicts++
	} else {
		t.commits++
		t.writtenRows += len(txn.Writes)
	}
	return commit, err
}

// Get counts reads.
func (t *countingTable) Get(ctx context.Context, key savorystep.RowKey) (savorystep.Row, error) {
	t.mu.Lock()
	t.reads++
	t.mu.Unlock()
	return t.Table.Get(ctx, key)
}

// A loadedInstance is an instance and the units that it holds.
type loadedInstance struct {
	budgets *Budgets
	permits map[savorystep.BudgetName][]savorystep.Permit
}

// newLoadedInstances returns instances that share a table and a clock.
func newLoadedInstances(count int, table savorystep.Table, clock savorystep.Clock) []*loadedInstance {
	instances := make([]*loadedInstance, count)
	for i := range instances {
		config := BudgetsConfig{Table: table, Clock: clock}
		config.Self = savorystep.InstanceID(fmt.Sprintf("n%02d", i))
		instances[i] = &loadedInstance{budgets: NewBudgets(config), permits: make(map[savorystep.BudgetName][]savorystep.Permit)}
	}
	return instances
}

// adjustTo acquires or releases units until target units are held or an
// acquisition is refused.
func (l *loadedInstance) adjustTo(now time.Time, name savorystep.BudgetName, limit savorystep.Slots, target int) {
	for len(l.permits[name]) > target {
		held := l.permits[name]
		held[len(held)-1].Release()
		l.permits[name] = held[:len(held)-1]
	}
	for len(l.permits[name]) < target {
		permit, err := l.budgets.Acquire(now, name, limit)
		if err != nil {
			return
		}
		l.permits[name] = append(l.permits[name], permit)
	}
}

// TestBudgetsOutage guards against an outage in which fewer units than the
// floor or more than the cap are in use, and against budgets that do not
// recover afterwards.
func TestBudgetsOutage(t *testing.T) {
	const name, limit, count = savorystep.BudgetName("region/status/natal"), 64, 4
	clock := &fakeClock{now: time.Now()}
	table := standin.NewFaultyTable(standin.NewTable())
	instances := newLoadedInstances(count, table, clock)
	run := func(seconds, target int) int {
		for range seconds * 4 {
			clock.advance(250 * time.Millisecond)
			for _, instance := range instances {
				instance.budgets.worker.round(t.Context(), false)
				instance.adjustTo(clock.Now(), name, limit, target)
			}
		}
		sum := 0
		for _, instance := range instances {
			sum += len(instance.permits[name])
		}
		return sum
	}
	if sum := run(20, 30); sum < limit-4 || sum > limit {
		t.Errorf("%d units in use before the outage, want nearly the cap of %d", sum, limit)
	}
	table.SetFaults(standin.TableFaults{Down: true})
	run(40, 0)
	if sum := run(3600, 30); sum != limit/4 {
		t.Errorf("%d units in use during the outage, want the floor of %d", sum, limit/4)
	}
	table.SetFaults(standin.TableFaults{})
	if sum := run(20, 30); sum < limit-4 || sum > limit {
		t.Errorf("%d units in use after the outage, want nearly the cap of %d", sum, limit)
	}
}

// TestBudgetsFaultyTable guards against a worker that resolves unknown outcomes
// wrongly: with outages, lost responses and late commits, the units in use must
// stay within the cap.
func TestBudgetsFaultyTable(t *testing.T) {
	const name, limit, count = savorystep.BudgetName("region/status/natal"), 40, 12
	seeds := uint64(20)
	if testing.Short() {
		seeds = 3
	}
	for seed := range seeds {
		random := rand.New(rand.NewPCG(seed, 1))
		clock := &fakeClock{now: time.Now()}
		table := standin.NewFaultyTable(standin.NewTable())
		instances := newLoadedInstances(count, table, clock)
		targets := make([]int, count)
		for step := range 1200 {
			clock.advance(250 * time.Millisecond)
			switch random.IntN(20) {
			case 0:
				table.SetFaults(standin.TableFaults{Down: true})
			case 1:
				table.SetFaults(standin.TableFaults{LoseResponses: 3})
			case 2:
				table.SetFaults(standin.TableFaults{HoldCommits: true})
			case 3, 4, 5, 6:
				table.SetFaults(standin.TableFaults{})
			case 7:
				if err := table.ApplyHeldCommits(t.Context()); err != nil {
					t.Fatal(err)
				}
			default:
			}
			sum := 0
			for i, instance := range instances {
				if random.IntN(40) == 0 {
					targets[i] = random.IntN(20)
				}
				instance.budgets.worker.round(t.Context(), false)
				instance.adjustTo(clock.Now(), name, limit, targets[i])
				sum += len(instance.permits[name])
			}
			if sum > limit {
				t.Fatalf("seed %d, step %d: %d units in use, want at most the cap of %d", seed, step, sum, limit)
			}
		}
	}
}

// TestBudgetsIdle guards against instances that keep reading and writing the
// rows of unused budgets.
func TestBudgetsIdle(t *testing.T) {
	const name, limit = savorystep.BudgetName("region/status/natal"), 40
	clock := &fakeClock{now: time.Now()}
	table := &countingTable{Table: standin.NewTable()}
	instance := newLoadedInstances(1, table, clock)[0]
	for range 40 {
		instance.adjustTo(clock.Now(), name, limit, 20)
		instance.budgets.worker.round(t.Context(), false)
		clock.advance(250 * time.Millisecond)
	}
	instance.adjustTo(clock.Now(), name, limit, 0)
	for range 4 * 60 {
		instance.budgets.worker.round(t.Context(), false)
		clock.advance(250 * time.Millisecond)
	}
	calls := table.commits + table.reads
	for range 4 * 60 * 8 {
		instance.budgets.worker.round(t.Context(), false)
		clock.advance(250 * time.Millisecond)
	}
	if now := table.commits + table.reads; now != calls {
		t.Errorf("%d table calls while only floor slots were held, want none", now-calls)
	}
	clock.advance(2 * time.Minute)
	instance.budgets.worker.round(t.Context(), false)
	if instance.budgets.worker.round(t.Context(), false) {
		t.Error("the worker still maintains the budget after the idle timeout")
	}
}

// BenchmarkBudgetsTableCalls measures the table calls per instance and second
// over 10 min of a fake clock, with 24 budgets of varying load. Each budget is
// used by 2 instances, or by all of them.
func BenchmarkBudgetsTableCalls(b *testing.B) {
	for _, holders := range []int{2, 0} {
		for _, count := range []int{3, 6, 12, 24} {
			label := fmt.Sprintf("holders=%d/instances=%d", holders, count)
			if holders == 0 {
				label = fmt.Sprintf("holders=all/instances=%d", count)
			}
			b.Run(label, func(b *testing.B) {
				for b.Loop() {
					measureTableCalls(b, count, holders)
				}
			})
		}
	}
}

// measureTableCalls runs the benchmark's load and reports the calls per second
// and instance.
func measureTableCalls(b *testing.B, count, holders int) {
	b.Helper()
	const budgets, limit, seconds = 24, 48, 600
	random := rand.New(rand.NewPCG(1, 1))
	clock := &fakeClock{now: time.Now()}
	table := &countingTable{Table: standin.NewTable()}
	instances := newLoadedInstances(count, table, clock)
	share := holders
	if share == 0 {
		share = count
	}
	for step := range seconds * 4 {
		clock.advance(250 * time.Millisecond)
		for i, instance := range instances {
			for n := range budgets {
				if (i-n%count+count)%count >= share {
					continue
				}
				name := savorystep.BudgetName(fmt.Sprintf("region/s%02d/natal", n))
				// The load of a budget varies every second between half and all
				// of 36 units.
				if step%4 == i%4 {
					instance.adjustTo(clock.Now(), name, limit, (18+random.IntN(19))/share)
				}
			}
			instance.budgets.worker.round(b.Context(), false)
		}
	}
	instanceSeconds := float64(seconds * count)
	b.ReportMetric(float64(table.commits)/instanceSeconds, "commits/s/instance")
	b.ReportMetric(float64(table.conflicts)/instanceSeconds, "conflicts/s/instance")
	b.ReportMetric(float64(table.writtenRows)/instanceSeconds, "rows/s/instance")
	b.ReportMetric(float64(table.reads)/instanceSeconds, "reads/s/instance")
}
