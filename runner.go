package savorystep

import "context"

// A Runner is a part that works in the background.
type Runner interface {
	// Start begins the work and returns a channel that yields one value, the
	// reason for the end, after ctx is cancelled or the work failed.
	Start(ctx context.Context) <-chan error
}
