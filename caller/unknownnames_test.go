package caller_test

import (
	"fmt"
	"testing"

	"savorystep"
	"savorystep/caller"
)

// TestUnknownNamesBounded guards against memory that grows with a flood of
// names, and against a flood that hides a frequent misspelling.
func TestUnknownNamesBounded(t *testing.T) {
	names := caller.NewUnknownNameCounter(caller.UnknownNameCounterConfig{MaxNames: 8})
	for range 500 {
		names.Add("statsuz")
	}
	for i := range 1000 {
		names.Add(savorystep.Name(fmt.Sprintf("flood%d", i)))
	}
	if got := names.Count("statsuz"); got != 500 {
		t.Errorf("Count = %d, want 500", got)
	}
	kept := 0
	for i := range 1000 {
		if names.Count(savorystep.Name(fmt.Sprintf("flood%d", i))) > 0 {
			kept++
		}
	}
	if kept != 7 {
		t.Errorf("%d names of the flood are kept, want 7", kept)
	}
}
