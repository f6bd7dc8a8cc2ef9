package peer

import (
	"context"
	"time"

	"savorystep"
)

const (
	// secondResyncTimeout is how long the second instance of the reader order waits for
	// the first to have read the whole section before it does so itself. The first
	// notices within its longest delay after a failed call, 1 s, that the store is back.
	secondResyncTimeout = 1100 * time.Millisecond
	// resyncTimeout is the same for all others, which wait for either of the two. A
	// change must be in force in 2.5 s.
	resyncTimeout = 1800 * time.Millisecond
	// resyncPollInterval is the time between two requests to the readers. It adds
	// little to the time until a change is in force, 2.5 s.
	resyncPollInterval = 100 * time.Millisecond
)

// resync reads a section after the store has dropped the changes since the query's
// version. All instances notice that at the same moment, so followers leave the read
// of the whole section to their readers.
func resync[R any, C catalogChanges](ctx context.Context, r *CatalogRelay, query catalogQuery, section catalogSection[R, C]) (catalogReading[C], error) {
	started := r.config.Clock.Now()
	for ctx.Err() == nil {
		readers := r.readers()
		timeout := resyncTimeout
		if len(readers) == 1 {
			timeout = secondResyncTimeout
		}
		if len(readers) == 0 || r.config.Clock.Now().Sub(started) >= timeout {
			break
		}
		for _, reader := range readers {
			reading, err := fetchChanges(ctx, r, reader, catalogQuery{after: query.after}, section)
			if err == nil && reading.changes.UpTo() > query.after {
				logger.Infof("%s after version %v is read from reader %s, the store has dropped the changes", section.path, query.after, reader)
				return reading, nil
			}
		}
		savorystep.Sleep(ctx, resyncPollInterval)
	}
	reading, err := readStore(ctx, r, catalogQuery{}, section)
	if err != nil {
		return reading, err
	}
	if upTo := reading.changes.UpTo(); upTo < query.after && !upTo.IsOfOtherEra(query.after) {
		return reading, savorystep.NewError(savorystep.KindPlatformDown, "whole read of %s is of version %v, version %v is known", section.path, upTo, query.after)
	}
	logger.Infof("%s is read whole at version %v, the store has dropped the changes after version %v", section.path, reading.changes.UpTo(), query.after)
	return reading, nil
}
