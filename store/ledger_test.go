package store_test

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// worldSteps is the number of steps of a run, about 200 s of the world's time.
const worldSteps = 100

// pairRuns is the number of runs with each pair of faults.
const pairRuns = 30

// TestGrantLedgerOneFault guards against a sum of units in use above the cap
// with each fault alone. A ledger has no goroutines, so the short run, which is
// the one under the race detector, leaves this to TestGrantLedgerAllFaults.
func TestGrantLedgerOneFault(t *testing.T) {
	if testing.Short() {
		t.Skip("the ledger has no goroutines for the race detector")
	}
	for _, fault := range worldFaults {
		t.Run(string(fault), func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(t *rapid.T) {
				runLedgerWorld(t, fault)
			})
		})
	}
}

// TestGrantLedgerTwoFaults guards against a sum of units in use above the cap
// with each two faults together.
func TestGrantLedgerTwoFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("the ledger has no goroutines for the race detector")
	}
	for i, first := range worldFaults {
		for _, second := range worldFaults[i+1:] {
			t.Run(string(first)+" and "+string(second), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(pairRuns) {
					world := newSeededWorld(seed, 1+int(seed*7%100), withoutNothing, first, second)
					for range worldSteps {
						world.step()
					}
					if world.problem != "" {
						t.Fatalf("seed %d: %s", seed, world.problem)
					}
				}
			})
		}
	}
}

// TestGrantLedgerAllFaults guards against a sum above the cap that needs more
// than two faults.
func TestGrantLedgerAllFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		runLedgerWorld(t, worldFaults...)
	})
}

// runLedgerWorld runs one world with choices from rapid.
func runLedgerWorld(t *rapid.T, faults ...worldFault) {
	t.Helper()
	seed := rapid.Uint64().Draw(t, "seed")
	limit := rapid.IntRange(1, 100).Draw(t, "cap")
	world := newSeededWorld(seed, limit, withoutNothing, faults...)
	for range worldSteps {
		world.step()
		if world.problem != "" {
			t.Fatal(world.problem)
		}
	}
}

// TestGrantLedgerProtections guards against a test that can't fail: without
// any one of the protections some run must take the sum above the cap. The cap
// stays the same in these runs.
func TestGrantLedgerProtections(t *testing.T) {
	if testing.Short() {
		t.Skip("the ledger has no goroutines for the race detector")
	}
	const runs = 2000
	for _, without := range worldProtections {
		t.Run(string(without), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(runs) {
				first := worldFaults[1+seed%uint64(len(worldFaults)-1)]
				second := worldFaults[1+seed/7%uint64(len(worldFaults)-1)]
				world := newSeededWorld(seed, 40, without, first, second)
				for range worldSteps {
					world.step()
				}
				if world.problem != "" {
					t.Logf("seed %d: %s", seed, world.problem)
					return
				}
			}
			t.Errorf("no run of %d passed the cap without %s", runs, without)
		})
	}
}

// TestGrantLedgerAdmits guards against a ledger that keeps within the cap
// because it admits nothing.
func TestGrantLedgerAdmits(t *testing.T) {
	source := rand.New(rand.NewPCG(1, 1))
	for _, fault := range worldFaults {
		world := newSeededWorld(source.Uint64(), 40, withoutNothing, fault)
		for range worldSteps {
			world.step()
		}
		t.Logf("%s: %d requests admitted in %v", fault, world.admitted, world.now)
		if world.admitted < worldSteps {
			t.Errorf("%s: only %d requests admitted", fault, world.admitted)
		}
	}
}
