package http1

import "fmt"

// A Stage is how far a request got before its exchange failed.
type Stage uint8

// The stages, in order.
const (
	// StageDial means that there was no connection.
	StageDial Stage = iota
	// StageUnsent means that nothing of the request left this instance.
	StageUnsent
	// StageSent means that the endpoint may have run the request.
	StageSent
)

// An ExchangeError is the end of an exchange without a whole answer.
type ExchangeError struct {
	Stage Stage
	// NewConnection is true if the connection had carried no request before.
	NewConnection bool
	// InvalidResponse is true if the endpoint answered with something that is not the
	// whole answer to the request.
	InvalidResponse bool
	// BudgetExceeded is true if this instance had no room for the answer, which says
	// nothing about the endpoint.
	BudgetExceeded bool
	Cause          error
}

// Error returns the stage and the cause.
func (f *ExchangeError) Error() string {
	stage := [...]string{"no connection", "nothing sent", "no whole answer"}[f.Stage]
	return fmt.Sprintf("%s: %v", stage, f.Cause)
}

// Unwrap returns the cause.
func (f *ExchangeError) Unwrap() error {
	return f.Cause
}
