package cmd

// A partialError says that a command did a part of its work.
type partialError struct {
	error
}

// Unwrap returns the reason.
func (e *partialError) Unwrap() error {
	return e.error
}
