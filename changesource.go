package savorystep

import "context"

// A ChangeSource gives the changes that this instance knows. Other instances
// fetch from it when the platform is slow.
type ChangeSource interface {
	// Changes returns the known changes after a revision in order, without
	// gaps, at most limit of them.
	Changes(after Revision, limit int) []Change
}

// PeerChanges fetches changes from other instances.
type PeerChanges interface {
	// ChangesFrom asks one instance for the changes after a revision.
	ChangesFrom(ctx context.Context, id InstanceID, after Revision, limit int) ([]Change, error)
}
