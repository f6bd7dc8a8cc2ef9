package operator

import (
	"context"

	"savorystep"
)

var _ savorystep.Config = &DryRunConfig{}

// A DryRunConfig is a configuration that checks changes as the wrapped one does and
// makes none.
type DryRunConfig struct {
	savorystep.Config
}

// Apply refuses a change with a wrong base and returns revision 0 for all
// others.
func (d *DryRunConfig) Apply(_ context.Context, change savorystep.Change) (savorystep.Revision, error) {
	if version := d.View().RecordRevisions[change.Service]; version != change.BaseRevision {
		return 0, savorystep.NewError(savorystep.KindVersionConflict, "record %s is at version %d, not %d", change.Service, version, change.BaseRevision)
	}
	return 0, nil
}
