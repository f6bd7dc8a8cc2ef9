package savorystep

import "context"

// A ChangeSource gives the changes that this instance knows. Other instances
// fetch from it when the platform is slow.
type ChangeSource interface {
	// Changes returns the known changes after a revision in order, at most limit
	// of them. A source that no longer knows all of them returns the last change
	// of each service instead, which leaves gaps; the list is complete once a
	// call returns none.
	Changes(after Revision, limit int) []Change
}

// PeerChanges fetches changes from other instances.
type PeerChanges interface {
	// ChangesFrom asks one instance for the changes after a revision.
	ChangesFrom(ctx context.Context, id InstanceID, after Revision, limit int) ([]Change, error)
}
