package savorystep

import "context"

// A Runner is a component that runs in the background.
type Runner interface {
	// Start starts the component. The returned channel yields one value, the
	// reason why the component ended, after it has failed or ctx was cancelled.
	Start(ctx context.Context) <-chan error
}
