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

// A fakeClock tells the time that a test sets.
type fakeClock struct {
	mu  sync.Mutex
	now time.Time
}

// Now returns the time.
func (c *fakeClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// advance moves the time.
func (c *fakeClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// A countingTable counts calls.
type countingTable struct {
	savorystep.Table
	mu                                     sync.Mutex
	commits, conflicts, reads, writtenRows int
}

// Commit counts a transaction, the rows that it wrote, and conflicts.
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

// Get counts a read.
func (t *countingTable) Get(ctx context.Context, key savorystep.RowKey) (savorystep.Row, error) {
	t.mu.Lock()
	t.reads++
	t.mu.Unlock()
	return t.Table.Get(ctx, key)
}

// A testLoad is an instance together with the units that it holds.
type loadedInstance struct {
	budgets *Budgets
	holds   map[savorystep.BudgetName][]savorystep.Permit
}

// newTestLoads returns instances that share a table and a clock.
func newLoadedInstances(count int, table savorystep.Table, clock savorystep.Clock) []*loadedInstance {
	instances := make([]*loadedInstance, count)
	for i := range instances {
		config := BudgetsConfig{Table: table, Clock: clock}
		config.Self = savorystep.InstanceID(fmt.Sprintf("n%02d", i))
		instances[i] = &loadedInstance{budgets: NewBudgets(config), holds: make(map[savorystep.BudgetName][]savorystep.Permit)}
	}
	return instances
}

// follow acquires or releases units until the target is in use or refused.
func (l *loadedInstance) adjustTo(now time.Time, name savorystep.BudgetName, limit savorystep.Slots, target int) {
	for len(l.holds[name]) > target {
		held := l.holds[name]
		held[len(held)-1].Release()
		l.holds[name] = held[:len(held)-1]
	}
	for len(l.holds[name]) < target {
		hold, err := l.budgets.Acquire(now, name, limit)
		if err != nil {
			return
		}
		l.holds[name] = append(l.holds[name], hold)
	}
}

// TestBudgetsOutage guards against an outage that takes the admitted amount to
// zero or past the cap, and against budgets that do not recover after it.
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
			sum += len(instance.holds[name])
		}
		return sum
	}
	if sum := run(20, 30); sum < limit-4 || sum > limit {
		t.Errorf("%d units in use before the outage, cap %d", sum, limit)
	}
	table.SetFaults(standin.TableFaults{Down: true})
	run(40, 0)
	if sum := run(3600, 30); sum != limit/4 {
		t.Errorf("%d units in use during the outage, want the floor of %d", sum, limit/4)
	}
	table.SetFaults(standin.TableFaults{})
	if sum := run(20, 30); sum < limit-4 || sum > limit {
		t.Errorf("%d units in use after the outage, cap %d", sum, limit)
	}
}

// TestBudgetsFaultyTable guards against a worker that settles outcomes wrongly:
// with outages, lost answers and late commits, the units in use stay within
// the cap.
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
				table.SetFaults(standin.TableFaults{LoseAnswers: 3})
			case 2:
				table.SetFaults(standin.TableFaults{Late: true})
			case 3, 4, 5, 6:
				table.SetFaults(standin.TableFaults{})
			case 7:
				if err := table.ApplyLate(t.Context()); err != nil {
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
				sum += len(instance.holds[name])
			}
			if sum > limit {
				t.Fatalf("seed %d, step %d: %d units in use, cap %d", seed, step, sum, limit)
			}
		}
	}
}

// TestBudgetsIdle guards against instances that keep on reading and writing
// rows of budgets that nobody uses.
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
		t.Errorf("%d calls while only floor slots were held", now-calls)
	}
	clock.advance(2 * time.Minute)
	instance.budgets.worker.round(t.Context(), false)
	if instance.budgets.worker.round(t.Context(), false) {
		t.Error("the worker is busy after the idle time")
	}
}

// BenchmarkBudgetsTableCalls measures the calls of the table per instance over
// 10 min of a fake clock, with 24 budgets whose load goes up and down. Each
// budget is used by 2 instances, or by all of them.
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

// measureTableCalls reports the calls per second and instance.
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
				// The load of a budget is between a half and all of 36 units
				// and changes every second.
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
