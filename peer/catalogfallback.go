package peer

import (
	"context"
	"time"

	"savorystep"
)

const (
	// fallbackDelay is how long an instance waits for a response that is due before it
	// sends its query to another peer as well. It is above the round trip between
	// regions, 70 ms.
	fallbackDelay = 100 * time.Millisecond
	// minFallbackPause is the pause after a search in which no peer had a recent
	// picture. It doubles with each further one of the same read.
	minFallbackPause = 250 * time.Millisecond
	// maxFallbackPeers is the number of peers that a search queries, besides the one
	// that responded to the last search and the next reader.
	maxFallbackPeers = 4
	// maxRelayedReads is the number of such queries that an instance serves
	// concurrently. Rejected peers query another one.
	maxRelayedReads = 8
)

// readWithFallback reads changes from the readers or the store. If they fail, or if
// they have not responded when this instance's picture is too old, it searches for a
// peer that has a recent one. A response of the readers or the store goes first.
func readWithFallback[R any, C catalogChanges](ctx context.Context, r *CatalogRelay, query catalogQuery, section catalogSection[R, C]) (catalogReading[C], error) {
	ctx, cancel := context.WithCancel(ctx)
	var direct, search <-chan readResult[C]
	defer func() {
		cancel()
		for _, running := range []<-chan readResult[C]{direct, search} {
			if running != nil {
				<-running
			}
		}
	}()
	direct = start(ctx, r, query, section, readChanges[R, C])
	searchTimer := time.NewTimer(r.untilFallback(section.freshness, section.maxAge))
	defer searchTimer.Stop()
	var directResult readResult[C]
	for pause := minFallbackPause; ; {
		select {
		case directResult = <-direct:
			direct = nil
			if directResult.err == nil {
				return directResult.reading, nil
			}
			if search == nil {
				search = start(ctx, r, query, section, searchPeers[R, C])
			}
		case <-searchTimer.C:
			if search == nil {
				search = start(ctx, r, query, section, searchPeers[R, C])
			}
		case found := <-search:
			search = nil
			if found.err == nil {
				found.reading.cause = directResult.err
				return found.reading, nil
			}
			if direct == nil {
				logger.Debugf("read %s from other peers: %v", section.path, found.err)
				return directResult.reading, directResult.err
			}
			searchTimer.Reset(pause)
			pause *= 2
		}
	}
}

// untilFallback returns how long an instance waits for its readers and the store.
func (r *CatalogRelay) untilFallback(f *freshness, maxAge time.Duration) time.Duration {
	tooOldAt := r.mirror.updatedAt(f).Add(maxAge - followerMargin)
	return max(0, tooOldAt.Sub(r.config.AgeClock.Now())) + fallbackDelay
}

// A readResult is a reading or the error of a read.
type readResult[C any] struct {
	reading catalogReading[C]
	err     error
}

// A readFunc reads changes of a section.
type readFunc[R any, C catalogChanges] func(context.Context, *CatalogRelay, catalogQuery, catalogSection[R, C]) (catalogReading[C], error)

// start starts a read in a goroutine. The channel receives its result.
func start[R any, C catalogChanges](ctx context.Context, r *CatalogRelay, query catalogQuery, section catalogSection[R, C], read readFunc[R, C]) <-chan readResult[C] {
	result := make(chan readResult[C], 1)
	go func() {
		reading, err := read(ctx, r, query, section)
		result <- readResult[C]{reading, err}
	}()
	return result
}

// searchPeers queries other peers until one has a recent picture: one after the other,
// and the next one early if a response is overdue.
func searchPeers[R any, C catalogChanges](ctx context.Context, r *CatalogRelay, query catalogQuery, section catalogSection[R, C]) (catalogReading[C], error) {
	type peerResult struct {
		readResult[C]

		peer savorystep.Address
	}
	query.allowRelayed = true
	query.maxWait = maxWaitUntil(r.config.AgeClock.Now(), r.mirror.updatedAt(section.freshness), query.maxWait, section.maxAge-followerMargin)
	peers := r.fallbackPeers()
	results := make(chan peerResult, len(peers))
	ctx, cancel := context.WithCancel(ctx)
	running, next := 0, 0
	defer func() {
		cancel()
		for range running {
			<-results
		}
	}()
	overdue := time.NewTimer(query.maxWait + fallbackDelay)
	defer overdue.Stop()
	err := error(savorystep.NewError(savorystep.KindNotReady, "read %s: no other peer is ready", section.path))
	for running > 0 || next < len(peers) {
		if next < len(peers) {
			peer := peers[next]
			go func() {
				reading, err := fetchChanges(ctx, r, peer, query, section)
				results <- peerResult{readResult[C]{reading, err}, peer}
			}()
			running, next = running+1, next+1
			overdue.Reset(query.maxWait + fallbackDelay)
		}
		select {
		case <-overdue.C:
		case result := <-results:
			running--
			if result.err == nil {
				r.fallbackOrder.recordSuccess(result.peer)
				result.reading.source = "peer " + string(result.peer)
				return result.reading, nil
			}
			err = result.err
		case <-ctx.Done():
			return catalogReading[C]{}, ctx.Err()
		}
	}
	r.fallbackOrder.recordFailure()
	return catalogReading[C]{}, err
}
