package cmd

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"savorystep"
	"savorystep/standin"
)

// runRestoredTable sends keyed requests while the platform's table is restored twice,
// the second time before the first one is over, and sends all keys again afterwards
// that may have run. It returns the violations, and the runs before and after the
// restores.
func runRestoredTable(t *testing.T, table *standin.Table) (violations []string, before, after int) {
	t.Helper()
	p := startProofSystem(t, proofConfig{
		Entries: 3, EndpointsPerService: 6, Services: []savorystep.Service{"renewals"}, Table: table,
	})
	p.applyAndWait(p.equalSharesRecord("renewals", proofRegions...))
	h := newOnceHistory()
	countRuns := func() int {
		total := 0
		for _, runs := range p.runsByKey() {
			total += runs
		}
		return total
	}
	load := func(firstKey int, duration time.Duration) {
		stop := make(chan struct{})
		senders := startKeyedLoad(p, h, 10, firstKey, stop)
		time.Sleep(duration)
		close(stop)
		senders.Wait()
	}
	load(0, 3*time.Second)
	before = countRuns()
	p.platform.SetFaults(standin.PlatformFaults{Down: true})
	time.Sleep(500 * time.Millisecond)
	p.platform.SetFaults(standin.PlatformFaults{RestoreMillis: 5000})
	load(1000, time.Second)
	p.platform.SetFaults(standin.PlatformFaults{RestoreMillis: 2000})
	load(2000, 14*time.Second)
	after = countRuns() - before
	resend := func(keys []int) {
		var resending sync.WaitGroup
		for worker := range 8 {
			resending.Go(func() {
				for i := worker; i < len(keys); i += 8 {
					sendKey(p, h, 2, keys[i], 1)
				}
			})
		}
		resending.Wait()
	}
	var keys []int
	for key, notExecuted := range h.notExecuted {
		var n int
		if _, err := fmt.Sscanf(string(key), "once-%d", &n); err != nil {
			t.Fatal(err)
		}
		if !notExecuted {
			keys = append(keys, n)
		}
	}
	resend(keys)
	return h.violations(p.runsByKey()), before, after
}

// TestProofRestoredTable guards against a keyed request that runs twice or is wrongly
// reported as not executed when the platform's table loses the last seconds, and
// against keyed requests that are refused from then on.
func TestProofRestoredTable(t *testing.T) {
	if testing.Short() {
		t.Skip("takes 25 s")
	}
	t.Parallel()
	violations, before, after := runRestoredTable(t, standin.NewTable())
	for _, violation := range violations {
		t.Error(violation)
	}
	t.Logf("%d runs before the restores, %d after them", before, after)
	if before < 30 || after < 30 {
		t.Errorf("%d runs before the restores and %d after them, want at least 30 each", before, after)
	}
}

// TestProofRestoredTableUnnoticed shows that the check finds a second run: it must
// report a violation if the table does not state its era.
func TestProofRestoredTableUnnoticed(t *testing.T) {
	if testing.Short() {
		t.Skip("takes 25 s")
	}
	t.Parallel()
	table := standin.NewTable()
	table.HideEra()
	if violations, _, _ := runRestoredTable(t, table); len(violations) == 0 {
		t.Error("the check found no second run, want at least one with a table that hides its era")
	}
}
