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
	// RetryDelay overrides the kind's delay if it is positive.
	RetryDelay time.Duration
	// MayHaveExecuted is true if the request may have run although the kind says
	// that it did not: an earlier attempt with the same key is not known of.
	MayHaveExecuted bool
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

// Execution says whether the request ran.
func (e *Error) Execution() Execution {
	ran := e.Kind.Info().Execution
	if ran == NotExecuted && e.MayHaveExecuted {
		return ExecutionUnknown
	}
	return ran
}

// ExecutionOf says whether the request that ended in err ran. An error without a kind
// leaves it unknown.
func ExecutionOf(err error) Execution {
	var e *Error
	if errors.As(err, &e) {
		return e.Execution()
	}
	return KindOf(err).Info().Execution
}

// RetryAfter returns the least time to wait before a retry.
func (e *Error) RetryAfter() time.Duration {
	if e.RetryDelay > 0 {
		return e.RetryDelay
	}
	return e.Kind.Info().RetryDelay
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
