package savorystep_test

import (
	"errors"
	"fmt"
	"testing"

	"savorystep"
)

// TestKindTableComplete guards against a kind without an answer.
func TestKindTableComplete(t *testing.T) {
	count := 0
	for k := savorystep.KindNone; ; k++ {
		answer := k.Info()
		if k > savorystep.KindNone && k.String() == "Internal" && k != savorystep.KindInternal {
			break
		}
		if answer.Name == "" || answer.Status == 0 {
			t.Errorf("kind %d has no answer", k)
		}
		parsed, ok := savorystep.ParseKind(answer.Name)
		if !ok || parsed != k {
			t.Errorf("ParseKind(%q) = %v, %v", answer.Name, parsed, ok)
		}
		count++
	}
	if count != 19 {
		t.Errorf("%d kinds, want 19", count)
	}
}

// TestKindNotRunMayOnlyRetry guards against a kind that invites a retry of a
// request that ran.
func TestKindNotRunMayOnlyRetry(t *testing.T) {
	for k := savorystep.KindNone; k <= savorystep.KindVersionConflict; k++ {
		answer := k.Info()
		if answer.Retryable && answer.Execution == savorystep.Executed {
			t.Errorf("%s invites a retry of a request that ran", k)
		}
	}
}

// TestKindOfWrapped guards against losing the kind when an error is wrapped.
func TestKindOfWrapped(t *testing.T) {
	inner := savorystep.WrapError(savorystep.KindCapReached, errors.New("cause"), "no unit left")
	outer := fmt.Errorf("forward: %w", inner)
	if got := savorystep.KindOf(outer); got != savorystep.KindCapReached {
		t.Errorf("KindOf = %v", got)
	}
	if got := savorystep.KindOf(errors.New("plain")); got != savorystep.KindInternal {
		t.Errorf("KindOf plain = %v", got)
	}
}
