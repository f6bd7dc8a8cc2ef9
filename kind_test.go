package savorystep_test

import (
	"errors"
	"fmt"
	"testing"

	"savorystep"
)

// TestKindTableComplete checks that every kind has an entry with a name and status
// in the table of kinds, and that its name parses back to the kind.
func TestKindTableComplete(t *testing.T) {
	count := 0
	for k := savorystep.KindNone; ; k++ {
		info := k.Info()
		if k > savorystep.KindNone && k.String() == "Internal" && k != savorystep.KindInternal {
			break
		}
		if info.Name == "" || info.Status == 0 {
			t.Errorf("kind %d has no name or status", k)
		}
		parsed, ok := savorystep.ParseKind(info.Name)
		if !ok || parsed != k {
			t.Errorf("ParseKind(%q) = %v, %v", info.Name, parsed, ok)
		}
		count++
	}
	if count != 19 {
		t.Errorf("%d kinds, want 19", count)
	}
}

// TestKindRetryableNotExecuted guards against a kind that lets callers send a request
// again that has run.
func TestKindRetryableNotExecuted(t *testing.T) {
	for k := savorystep.KindNone; k <= savorystep.KindVersionConflict; k++ {
		info := k.Info()
		if info.Retryable && info.Execution == savorystep.Executed {
			t.Errorf("kind %s is retryable although the request ran", k)
		}
	}
}

// TestKindOfWrapped checks that KindOf finds the kind of a wrapped error, and that an
// error without a kind has KindInternal.
func TestKindOfWrapped(t *testing.T) {
	inner := savorystep.WrapError(savorystep.KindCapReached, errors.New("cause"), "no unit left")
	outer := fmt.Errorf("forward: %w", inner)
	if got := savorystep.KindOf(outer); got != savorystep.KindCapReached {
		t.Errorf("KindOf of a wrapped error = %v, want CapReached", got)
	}
	if got := savorystep.KindOf(errors.New("plain")); got != savorystep.KindInternal {
		t.Errorf("KindOf of an error without a kind = %v, want Internal", got)
	}
}
