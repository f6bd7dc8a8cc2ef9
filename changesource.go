package savorystep

import "context"

// A ChangeSource provides the configuration changes that this instance holds.
// Other instances fetch them from it when the platform is slow.
type ChangeSource interface {
	// Changes returns the changes after a revision in ascending order, at most
	// limit of them. A source that has dropped some of them returns the last
	// change of each service instead, so revisions may be missing in between.
	// The caller has all changes when a call returns none.
	Changes(after Revision, limit int) []Change
}

// PeerChanges fetches configuration changes from other instances.
type PeerChanges interface {
	// ChangesFrom returns the changes after a revision that the given instance
	// holds, at most limit of them. See ChangeSource for gaps.
	ChangesFrom(ctx context.Context, id InstanceID, after Revision, limit int) ([]Change, error)
}
