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
