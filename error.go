package savorystep

import (
	"errors"
	"fmt"
	"time"
)

// An Error is an error with a kind from the closed list.
type Error struct {
	Kind Kind
	// Detail is one short sentence for the reader of the answer or the log.
	Detail string
	// Delay overrides the kind's delay if it is positive.
	Delay time.Duration
	// MayHaveRun is true if the request may have run although the kind says
	// that it did not: an earlier attempt with the same key is not known of.
	MayHaveRun bool
	// Suggestions are services with a name like the one asked for.
	Suggestions []Service
	// Cause is the underlying error, or nil.
	Cause error
}

// NewError returns an error of the given kind with a formatted detail.
func NewError(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Detail: fmt.Sprintf(format, args...)}
}

// WrapError returns an error of the given kind that has cause as its cause.
func WrapError(kind Kind, cause error, format string, args ...any) *Error {
	return &Error{Kind: kind, Detail: fmt.Sprintf(format, args...), Cause: cause}
}

// Error returns the kind, the detail and the cause.
func (e *Error) Error() string {
	if e.Cause == nil {
		return e.Kind.String() + ": " + e.Detail
	}
	return fmt.Sprintf("%s: %s: %v", e.Kind, e.Detail, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Cause
}

// Ran says whether the request ran.
func (e *Error) Ran() Ran {
	ran := e.Kind.Answer().Ran
	if ran == RanNo && e.MayHaveRun {
		return RanUnknown
	}
	return ran
}

// RanOf says whether the request that ended in err ran. An error without a kind
// leaves it unknown.
func RanOf(err error) Ran {
	var e *Error
	if errors.As(err, &e) {
		return e.Ran()
	}
	return KindOf(err).Answer().Ran
}

// RetryAfter returns the least time to wait before a retry.
func (e *Error) RetryAfter() time.Duration {
	if e.Delay > 0 {
		return e.Delay
	}
	return e.Kind.Answer().Delay
}

// KindOf returns the kind of the first Error in err's chain, KindNone for nil
// and KindInternal for an error without a kind.
func KindOf(err error) Kind {
	if err == nil {
		return KindNone
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return KindInternal
}
