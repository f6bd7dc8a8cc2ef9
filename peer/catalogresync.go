package peer

import (
	"context"
	"time"

	"savorystep"
)

const (
	// resyncTimeout is how long a follower waits for a reader that has read the whole
	// section before it does so itself. A reader notices within its longest delay
	// after a failed call, 1 s, that the store is back, and reads for some 0.1 s.
	resyncTimeout = 1500 * time.Millisecond
	// resyncPollInterval is the time between two requests to the readers. It adds
	// little to the time until a change is in force, 2.5 s.
	resyncPollInterval = 100 * time.Millisecond
)

// resync reads a section after the store has dropped the changes since the query's
// version. All instances notice that at the same moment, so followers leave the read
// of the whole section to their readers.
func resync[R any, C catalogChanges](ctx context.Context, r *CatalogRelay, query catalogQuery, section catalogSection[R, C]) (C, error) {
	started := r.config.Clock.Now()
	for ctx.Err() == nil && r.config.Clock.Now().Sub(started) < resyncTimeout {
		readers := r.readers()
		if len(readers) == 0 {
			break
		}
		for _, reader := range readers {
			changes, err := fetchChanges(ctx, r, reader, catalogQuery{after: query.after}, section)
			if err == nil && changes.UpTo() > query.after {
				logger.Infof("%s after version %v is read from reader %s, the store has dropped the changes", section.path, query.after, reader)
				return changes, nil
			}
		}
		savorystep.Sleep(ctx, resyncPollInterval)
	}
	changes, err := section.readStore(ctx, 0, 0)
	if err != nil {
		return changes, err
	}
	if changes.UpTo() < query.after {
		return changes, savorystep.NewError(savorystep.KindPlatformDown, "whole read of %s is of version %v, version %v is known", section.path, changes.UpTo(), query.after)
	}
	logger.Infof("%s is read whole at version %v, the store has dropped the changes after version %v", section.path, changes.UpTo(), query.after)
	section.apply(r.config.Clock.Now(), changes, originStore)
	return changes, nil
}
