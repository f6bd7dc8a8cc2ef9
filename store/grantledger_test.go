package store_test

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// simulationSteps is the number of steps of a run, about 200 s of simulated
// time.
const simulationSteps = 100

// runsPerFaultPair is the number of runs with each pair of faults.
const runsPerFaultPair = 30

// TestGrantLedgerOneFault guards against more units in use than the cap under
// each fault alone. The short run, which is the one under the race detector,
// skips it, because a ledger has no goroutines and TestGrantLedgerAllFaults
// covers all faults.
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

// TestGrantLedgerTwoFaults guards against more units in use than the cap under
// each pair of faults.
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

// TestGrantLedgerAllFaults guards against more units in use than the cap when
// more than two faults coincide.
func TestGrantLedgerAllFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		runGrantSimulation(t, simulationFaults...)
	})
}

// runGrantSimulation runs a simulation whose seed and cap come from rapid.
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

// TestGrantLedgerProtections guards against a simulation that detects nothing:
// after the removal of any one protection, some run must exceed the cap. The
// cap does not change in these runs.
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
			t.Errorf("no run of %d exceeded the cap without %s", runs, removed)
		})
	}
}

// TestGrantLedgerAdmits guards against a ledger that stays within the cap
// because it admits too little.
func TestGrantLedgerAdmits(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for _, fault := range simulationFaults {
		simulation := newSeededSimulation(random.Uint64(), 40, allProtections, fault)
		for range simulationSteps {
			simulation.step()
		}
		t.Logf("%s: %d requests admitted in %v", fault, simulation.admitted, simulation.now)
		if simulation.admitted < simulationSteps {
			t.Errorf("%s: %d requests admitted, want at least one for each step", fault, simulation.admitted)
		}
	}
}
