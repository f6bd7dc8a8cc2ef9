package savorystep

import "context"

// A Config is the configuration in force at an instance.
type Config interface {
	// View returns the configuration in force. Its revision never goes down.
	View() *View
	// Apply proposes a change. The change's Base must be the record's current
	// revision, else the error has kind KindVersionConflict. KindPlatformDown
	// means that the outcome is unknown; Apply with the same ID settles it.
	Apply(ctx context.Context, change Change) (Revision, error)
	// History returns the last changes, newest first, of a service or, if the
	// service is empty, of all.
	History(ctx context.Context, service Service, limit int) ([]Change, error)
}
