package savorystep

import "context"

// A Config gives access to the steering configuration in force at an instance.
type Config interface {
	// View returns the configuration in force. Its revision never decreases.
	View() *View
	// Apply proposes a change and returns its revision. BaseRevision of the
	// change must be the current revision of the record, otherwise the error has
	// kind KindVersionConflict. After an error of kind KindPlatformDown the
	// change may or may not have been accepted; calling Apply again with the
	// same change ID is safe and returns the outcome.
	Apply(ctx context.Context, change Change) (Revision, error)
	// History returns at most limit changes of a service, newest first. An empty
	// service means all services.
	History(ctx context.Context, service Service, limit int) ([]Change, error)
}
