package http1

import "fmt"

// A Stage is how far an exchange got before it failed.
type Stage uint8

// The stages in order.
const (
	// StageDial means that no connection could be opened.
	StageDial Stage = iota
	// StageUnsent means that no byte of the request was written.
	StageUnsent
	// StageSent means that the request was written at least in part, so the
	// endpoint may have run it.
	StageSent
)

// An ExchangeError is the error of an exchange without a complete response.
type ExchangeError struct {
	Stage Stage
	// NewConnection is true if the connection had not carried an exchange before.
	NewConnection bool
	// ClosedByEndpoint is true if the endpoint ended the connection, with or without a
	// reset, before it had sent a complete response: it crashed, stopped, broke off the
	// response or closed a connection that was idle.
	ClosedByEndpoint bool
	// BudgetExceeded is true if the memory budget of this instance had no room for
	// the response, which says nothing about the health of the endpoint.
	BudgetExceeded bool
	Cause          error
}

// Error returns the stage and the cause.
func (e *ExchangeError) Error() string {
	stage := [...]string{"no connection", "nothing sent", "no whole answer"}[e.Stage]
	return fmt.Sprintf("%s: %v", stage, e.Cause)
}

// Unwrap returns the cause.
func (e *ExchangeError) Unwrap() error {
	return e.Cause
}
