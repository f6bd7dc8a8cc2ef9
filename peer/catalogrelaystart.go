package peer

import (
	"context"
	"math/rand/v2"
	"time"

	"savorystep"
)

const (
	// firstStartWindow is the duration of the first start of the system. During
	// this time an instance also queries peers that are not known to be ready,
	// since their status takes up to 2 s to arrive.
	firstStartWindow = 3 * time.Second
	// startPeerTimeout is how long an instance tries to get the whole catalog
	// from its peers before it reads the store. Most get it within a second.
	startPeerTimeout = 2 * time.Second
	// firstPeerTimeout is how long an instance without any known peer waits for
	// the first one. Seeds respond within two round trips of 70 ms.
	firstPeerTimeout = 400 * time.Millisecond
	// startPollInterval is the time between two attempts.
	startPollInterval = 100 * time.Millisecond
	// maxFullReads is the number of whole catalogs that an instance serves
	// concurrently. A catalog of 200 kB takes 80 ms on a link of 20 Mbit/s.
	// Rejected peers query one of the others that have got it in the meantime.
	maxFullReads = 4
)

// A startStep is the next step of a starting instance that needs the whole
// catalog.
type startStep uint8

const (
	// startReadStore reads the store.
	startReadStore startStep = iota
	// startFetchFromPeer fetches the catalog from a peer.
	startFetchFromPeer
	// startWaitForPeer waits until a peer is known.
	startWaitForPeer
)

// nextStartStep returns the next step of a starting instance, given the time
// since its start, the number of known peers in its region, and its position in
// the reader order. The first instance of the order reads the store for the
// others.
func nextStartStep(elapsed time.Duration, peers, position int) startStep {
	switch {
	case elapsed >= startPeerTimeout:
		return startReadStore
	case peers == 0 && elapsed < firstPeerTimeout:
		return startWaitForPeer
	case position == 0:
		return startReadStore
	default:
		return startFetchFromPeer
	}
}

// chooseStartPeer returns a peer to query: with equal probability the first of
// the reader order, which reads the store, or any of them, which may have got
// the catalog from the first.
func chooseStartPeer(order []savorystep.Address) savorystep.Address {
	if rand.IntN(2) == 0 { //nolint:gosec // The choice needs no secrecy.
		return order[0]
	}
	return order[rand.IntN(len(order))] //nolint:gosec // As above.
}

// fetchAtFirstStart fetches the whole catalog from peers of the region at the
// first start of the system. It returns false if the store must be read
// instead. Each call of a fleet to the store has a cost, and reading a whole
// list takes several calls. At later starts callers are waiting, and the store
// responds sooner than peers become known. Only peers that are up to date with
// the store respond, so that removed endpoints don't reappear; the next read
// delivers the changes since.
func fetchAtFirstStart[R any, C catalogChanges](ctx context.Context, r *CatalogRelay, section catalogSection[R, C]) (catalogReading[C], bool) {
	var zero catalogReading[C]
	for ctx.Err() == nil {
		now := r.config.Clock.Now()
		order, position := r.readerOrder(now)
		switch nextStartStep(now.Sub(r.startedAt), len(order), position) {
		case startReadStore:
			return zero, false
		case startFetchFromPeer:
			address := chooseStartPeer(order)
			reading, err := fetchChanges(ctx, r, address, catalogQuery{}, section)
			if err == nil {
				return reading, true
			}
			logger.Debugf("read %s from peer %s at the first start: %v", section.path, address, err)
		case startWaitForPeer:
		}
		savorystep.Sleep(ctx, startPollInterval)
	}
	return zero, false
}
