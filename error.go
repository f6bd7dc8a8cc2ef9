package savorystep

import (
	"errors"
	"fmt"
	"time"
)

// An Error is an error with one of the error kinds that callers see.
type Error struct {
	Kind Kind
	// Detail is one short sentence for the caller and the log.
	Detail string
	// RetryDelay replaces the RetryDelay of the kind if it is positive.
	RetryDelay time.Duration
	// MayHaveExecuted is true if the request may have run although its kind says
	// NotExecuted: the request may be a repeat, and the idempotency store was not
	// consulted about earlier attempts with the same key.
	MayHaveExecuted bool
	// Suggestions are services whose names resemble the requested one.
	Suggestions []Service
	// Cause is the underlying error, or nil.
	Cause error
}

// NewError returns an error of the given kind. The format and args make its detail.
func NewError(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Detail: fmt.Sprintf(format, args...)}
}

// WrapError returns an error of the given kind that wraps cause. The format and
// args make its detail.
func WrapError(kind Kind, cause error, format string, args ...any) *Error {
	return &Error{Kind: kind, Detail: fmt.Sprintf(format, args...), Cause: cause}
}

// Error implements error with the kind, the detail and the cause, if any.
func (e *Error) Error() string {
	if e.Cause == nil {
		return e.Kind.String() + ": " + e.Detail
	}
	return fmt.Sprintf("%s: %s: %v", e.Kind, e.Detail, e.Cause)
}

// Unwrap returns the cause, so that errors.Is and errors.As find it.
func (e *Error) Unwrap() error {
	return e.Cause
}

// Execution returns whether an upstream ran the request that failed with e.
func (e *Error) Execution() Execution {
	execution := e.Kind.Info().Execution
	if execution == NotExecuted && e.MayHaveExecuted {
		return ExecutionUnknown
	}
	return execution
}

// ExecutionOf returns whether an upstream ran the request that failed with err. It
// is ExecutionUnknown for an error without a kind.
func ExecutionOf(err error) Execution {
	var e *Error
	if errors.As(err, &e) {
		return e.Execution()
	}
	return KindOf(err).Info().Execution
}

// RetryAfter returns the minimum time that a caller waits before it sends the
// request again, or 0.
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
