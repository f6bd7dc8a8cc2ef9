package peer

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"savorystep"
)

// A catalogReading is the result of a read of a section.
type catalogReading[C any] struct {
	changes C
	// upToDateAt is when the changes were up to date.
	upToDateAt time.Time
	origin     changeOrigin
	// source names where the changes were read, "" if that is not recorded. cause is why
	// a source before it in the order was not used, nil if there is none.
	source string
	cause  error
}

// readCatalog reads changes and applies them to the mirror.
func readCatalog[R any, C catalogChanges](ctx context.Context, r *CatalogRelay, query catalogQuery, section catalogSection[R, C]) (catalogReading[C], error) {
	read := readChanges[R, C]
	switch {
	case query.after == 0:
		read = readWhole[R, C]
	case section.hasFallback:
		read = readWithFallback[R, C]
	}
	reading, err := read(ctx, r, query, section)
	if err != nil {
		return reading, err
	}
	if reading.source != "" {
		r.sources.record(section.path, reading.source, reading.cause)
	}
	section.apply(reading.upToDateAt, reading.changes, reading.origin)
	return reading, nil
}

// readWhole reads a whole section from the store, or from a peer if the store does not
// respond. At the first start of the system, peers come first.
func readWhole[R any, C catalogChanges](ctx context.Context, r *CatalogRelay, query catalogQuery, section catalogSection[R, C]) (catalogReading[C], error) {
	if r.config.FirstStart {
		if reading, ok := fetchAtFirstStart(ctx, r, section); ok {
			return reading, nil
		}
	}
	reading, err := readStore(ctx, r, query, section)
	if err == nil {
		return reading, nil
	}
	response, peerErr := fetchFromAnyPeer[R](ctx, r, section.path)
	if peerErr != nil {
		return reading, err
	}
	changes, peerErr := section.decodeResponse(response)
	if peerErr != nil {
		return reading, err
	}
	return catalogReading[C]{changes: changes, upToDateAt: r.config.AgeClock.Now(), origin: originPeer}, nil
}

// readChanges reads changes from the readers, then from the store.
func readChanges[R any, C catalogChanges](ctx context.Context, r *CatalogRelay, query catalogQuery, section catalogSection[R, C]) (catalogReading[C], error) {
	var readerErr error
	for _, reader := range r.readers() {
		reading, err := fetchChanges(ctx, r, reader, query, section)
		if err == nil {
			reading.source = "reader " + string(reader)
			return reading, nil
		}
		readerErr = err
		logger.Debugf("read %s from reader %s: %v", section.path, reader, err)
		if !errors.Is(err, errStale) {
			// Waiting for another unreachable reader would take too long.
			break
		}
	}
	updatedAt, delay := r.mirror.storeTimes(section.freshness)
	query.maxWait = maxWaitUntil(r.config.AgeClock.Now(), updatedAt, query.maxWait, section.maxAge-storeMargin-delay)
	reading, err := readStore(ctx, r, query, section)
	if errors.Is(err, savorystep.ErrChangesDropped) {
		return resync(ctx, r, query, section)
	}
	reading.cause = readerErr
	return reading, err
}

// readStore reads changes from the store. They count as up to date from the start of the
// read, or from the end of the wait if there was no change until then: the response may
// have been held up on its way, or the machine suspended.
func readStore[R any, C catalogChanges](ctx context.Context, r *CatalogRelay, query catalogQuery, section catalogSection[R, C]) (catalogReading[C], error) {
	upToDateAt := r.config.AgeClock.Now()
	changes, err := section.readStore(ctx, query.after, query.maxWait)
	if changes.HasWaited() {
		now := r.config.AgeClock.Now()
		upToDateAt = earliest(upToDateAt.Add(query.maxWait), now)
		r.mirror.recordStoreDelay(section.freshness, now.Sub(upToDateAt))
	}
	return catalogReading[C]{changes: changes, upToDateAt: upToDateAt, origin: originStore, source: "the store"}, err
}

// fetchChanges fetches changes from a peer. The error wraps errStale if the picture of
// this instance, with them, is about to become too old.
func fetchChanges[R any, C catalogChanges](ctx context.Context, r *CatalogRelay, address savorystep.Address, query catalogQuery, section catalogSection[R, C]) (catalogReading[C], error) {
	reading := catalogReading[C]{origin: originPeer}
	updatedAt, sentAt := r.mirror.updatedAt(section.freshness), r.config.AgeClock.Now()
	if query.after != 0 {
		query.maxWait = maxWaitUntil(sentAt, updatedAt, query.maxWait, section.maxAge-followerMargin)
	}
	response, age, err := fetchCatalog[R](ctx, r, address, section.path, query)
	if err == nil {
		reading.changes, err = section.decodeResponse(response)
	}
	if err != nil {
		return reading, err
	}
	now := r.config.AgeClock.Now()
	reading.upToDateAt = latest(updatedAt, age.upToDateAt(sentAt, now))
	if query.after == 0 {
		return reading, nil
	}
	reading.origin = originReader
	if query.allowRelayed {
		reading.origin = originFallback
	}
	if pictureAge := now.Sub(reading.upToDateAt); pictureAge >= section.maxAge-followerMargin {
		return reading, savorystep.WrapError(savorystep.KindNotReady, errStale, "read %s from peer %s: the picture is %v old", section.path, address, pictureAge)
	}
	return reading, nil
}

// fetchFromAnyPeer fetches the whole catalog, of any age, from the first ready
// peer that responds, those with the newest configuration first. An instance uses it
// when it starts while the store does not respond: an old catalog is better than none,
// and later reads deliver the changes since.
func fetchFromAnyPeer[T any](ctx context.Context, r *CatalogRelay, path string) (T, error) {
	var response T
	err := error(savorystep.NewError(savorystep.KindNotReady, "read %s from peers: none is ready", path))
	self := r.config.Members.Self()
	members := slices.Clone(r.config.Members.Members(r.config.Clock.Now()))
	slices.SortStableFunc(members, func(a, b savorystep.Member) int { return cmp.Compare(b.Revision, a.Revision) })
	for _, m := range members {
		if m.Instance.ID == self.ID || !m.Ready {
			continue
		}
		response, _, err = fetchCatalog[T](ctx, r, m.Instance.PeerAddress, path, catalogQuery{allowStale: true})
		if err == nil {
			logger.Infof("read %s from peer %s because the store failed", path, m.Instance.ID)
			return response, nil
		}
	}
	return response, err
}
