package cmd

// A partialError is the error of a command that completed only a part of its work.
type partialError struct {
	error
}

// Unwrap returns the cause.
func (e *partialError) Unwrap() error {
	return e.error
}
