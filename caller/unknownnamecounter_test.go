package caller_test

import (
	"fmt"
	"testing"

	"savorystep"
	"savorystep/caller"
)

// TestUnknownNameCounterBounded guards against memory that grows with the number of
// distinct names, and against a flood of rare names that evict a frequent misspelling.
func TestUnknownNameCounterBounded(t *testing.T) {
	counter := caller.NewUnknownNameCounter(caller.UnknownNameCounterConfig{MaxNames: 8})
	for range 500 {
		counter.Add("statsuz")
	}
	for i := range 1000 {
		counter.Add(savorystep.Name(fmt.Sprintf("flood%d", i)))
	}
	if got := counter.Count("statsuz"); got != 500 {
		t.Errorf("Count = %d, want 500", got)
	}
	keptCount := 0
	for i := range 1000 {
		if counter.Count(savorystep.Name(fmt.Sprintf("flood%d", i))) > 0 {
			keptCount++
		}
	}
	if keptCount != 7 {
		t.Errorf("%d names of the flood are counted, want 7", keptCount)
	}
}
