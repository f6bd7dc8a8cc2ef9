package store_test

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// worldSteps is the number of steps of a run, about 200 s of the world's time.
const simulationSteps = 100

// pairRuns is the number of runs with each pair of faults.
const runsPerFaultPair = 30

// TestGrantLedgerOneFault guards against a sum of units in use above the cap
// with each fault alone. A ledger has no goroutines, so the short run, which is
// the one under the race detector, leaves this to TestGrantLedgerAllFaults.
func TestGrantLedgerOneFault(t *testing.T) {
	if testing.Short() {
		t.Skip("the ledger has no goroutines for the race detector")
	}
	for _, fault := range simulationFaults {
		t.Run(string(fault), func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(t *rapid.T) {
				runGrantSimulation(t, fault)
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
	for i, first := range simulationFaults {
		for _, second := range simulationFaults[i+1:] {
			t.Run(string(first)+" and "+string(second), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(runsPerFaultPair) {
					simulation := newSeededSimulation(seed, 1+int(seed*7%100), allProtections, first, second)
					for range simulationSteps {
						simulation.step()
					}
					if simulation.violation != "" {
						t.Fatalf("seed %d: %s", seed, simulation.violation)
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
		runGrantSimulation(t, simulationFaults...)
	})
}

// runLedgerWorld runs one world with choices from rapid.
func runGrantSimulation(t *rapid.T, faults ...simulationFault) {
	t.Helper()
	seed := rapid.Uint64().Draw(t, "seed")
	budgetCap := rapid.IntRange(1, 100).Draw(t, "cap")
	simulation := newSeededSimulation(seed, budgetCap, allProtections, faults...)
	for range simulationSteps {
		simulation.step()
		if simulation.violation != "" {
			t.Fatal(simulation.violation)
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
	for _, removed := range protections {
		t.Run(string(removed), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(runs) {
				first := simulationFaults[1+seed%uint64(len(simulationFaults)-1)]
				second := simulationFaults[1+seed/7%uint64(len(simulationFaults)-1)]
				simulation := newSeededSimulation(seed, 40, removed, first, second)
				for range simulationSteps {
					simulation.step()
				}
				if simulation.violation != "" {
					t.Logf("seed %d: %s", seed, simulation.violation)
					return
				}
			}
			t.Errorf("no run of %d passed the cap without %s", runs, removed)
		})
	}
}

// TestGrantLedgerAdmits guards against a ledger that keeps within the cap
// because it admits nothing.
func TestGrantLedgerAdmits(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for _, fault := range simulationFaults {
		simulation := newSeededSimulation(random.Uint64(), 40, allProtections, fault)
		for range simulationSteps {
			simulation.step()
		}
		t.Logf("%s: %d requests admitted in %v", fault, simulation.admitted, simulation.now)
		if simulation.admitted < simulationSteps {
			t.Errorf("%s: only %d requests admitted", fault, simulation.admitted)
		}
	}
}
