package operator

import (
	"context"

	"savorystep"
)

var _ savorystep.Config = &DryRunConfig{}

// A DryRunConfig wraps a configuration. It checks the base revision of changes, but
// does not apply them.
type DryRunConfig struct {
	savorystep.Config
}

// Apply returns revision 0, or an error of kind KindVersionConflict if BaseRevision of
// the change is not the revision of the record in force.
func (d *DryRunConfig) Apply(_ context.Context, change savorystep.Change) (savorystep.Revision, error) {
	if current := d.View().RecordRevisions[change.Service]; current != change.BaseRevision {
		return 0, savorystep.NewError(savorystep.KindVersionConflict, "record %s is at version %d, not %d", change.Service, current, change.BaseRevision)
	}
	return 0, nil
}
