package peer

import (
	"context"
	"math/rand/v2"
	"time"

	"savorystep"
)

const (
	// startTime is how long the first start of the system takes. An instance then
	// asks peers that it does not know as ready yet, since word of that takes up
	// to 2 s.
	startTime = 3 * time.Second
	// startWait is how long an instance asks its peers for the whole catalog
	// before it reads the store. Most get it within a second.
	startWait = 2 * time.Second
	// aloneWait is how long an instance that knows no peer waits for one. Seeds
	// answer within two round trips of 70 ms.
	aloneWait = 400 * time.Millisecond
	// startPoll is the time between two questions.
	startPoll = 100 * time.Millisecond
	// maxStarts is how many whole catalogs an instance tells at the same time.
	// 200 kB take 80 ms on a link of 20 Mbit/s; those who are turned away ask
	// one of the peers that got it meanwhile.
	maxStarts = 4
)

// A startStep is what a starting instance does next to get the whole catalog.
type startStep uint8

const (
	// startStore means that it reads the store.
	startStore startStep = iota
	// startAsk means that it asks a peer.
	startAsk
	// startHold means that it waits for word of a peer.
	startHold
)

// nextStart returns what an instance does next that has been starting for some
// time, knows some peers of its region and stands at a place of their order. The
// first of the order reads the store for the others.
func nextStart(since time.Duration, peers, own int) startStep {
	switch {
	case since >= startWait:
		return startStore
	case peers == 0 && since < aloneWait:
		return startHold
	case own == 0:
		return startStore
	default:
		return startAsk
	}
}

// startPeer returns the peer to ask: by turns the first of the order, which reads
// the store, and any other, which may have got it from there.
func startPeer(order []savorystep.Address) savorystep.Address {
	if rand.IntN(2) == 0 { //nolint:gosec // The spread needs no secrecy.
		return order[0]
	}
	return order[rand.IntN(len(order))] //nolint:gosec // As above.
}

// startFromPeers asks peers of the region for the whole catalog when the system
// starts for the first time. It returns false if the store has to be read. Each of
// a fleet's calls to the store has a price, and a whole list takes several. At a
// later start callers wait, and the store answers sooner than peers are known.
// Only peers that heard of the store lately tell what they know, so that no
// endpoint that left comes back; the next read brings what changed since.
func startFromPeers[A, C any](ctx context.Context, r *CatalogRelay, read catalogRead[A, C]) (C, bool) {
	var none C
	for ctx.Err() == nil {
		now := r.config.Clock.Now()
		order, own := r.order(now)
		switch nextStart(now.Sub(r.started), len(order), own) {
		case startStore:
			return none, false
		case startAsk:
			address := startPeer(order)
			changes, err := fetchChanges(ctx, r, address, catalogQuery{}, read)
			if err == nil {
				return changes, true
			}
			logger.Debugf("start: %s from %s: %v", read.path, address, err)
		case startHold:
		}
		savorystep.Sleep(ctx, startPoll)
	}
	return none, false
}
