package peer

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
	"golang.org/x/sync/semaphore"

	"savorystep"
)

const (
	// listFresh is how old a reader's read of the list may be. A reader reads
	// it every 0.8 s; two reads that fail in a row make it old.
	listFresh = 1500 * time.Millisecond
	// ordersFresh is how old a reader's read of the orders may be. A read waits
	// up to 1.5 s for a change.
	ordersFresh = 2200 * time.Millisecond
	// maxPeerHeader bounds the header of a peer's answer in bytes. Theirs have a
	// few hundred; the transport's default is 10 MiB.
	maxPeerHeader = 64 << 10
	// relayMargin is the time beyond the wait after which a reader counts as
	// silent. It covers round trips within a region and a busy processor.
	relayMargin = 400 * time.Millisecond
	// askedReaders is how many readers are asked. The second one reads the store
	// when it turns the first one away.
	askedReaders = 2
)

// errStale means that a reader has not read the store lately.
var errStale = errors.New("the store was not read lately")

var _ savorystep.Catalog = &CatalogRelay{}

// A CatalogRelayConfig configures a CatalogRelay.
type CatalogRelayConfig struct {
	// Catalog reads the store.
	Catalog savorystep.Catalog
	Clock   savorystep.Clock
	Members savorystep.Members
	// FirstStart is true if the whole system starts for the first time, so that no
	// caller waits yet.
	FirstStart bool
	// Secret is shared by all instances.
	Secret string
}

// A CatalogRelay wraps a catalog so that one instance of each region, its reader,
// reads the store and the others ask the reader. Calls to the store are the
// price of a large fleet. If the reader has not read the store lately, the next
// instance of the region's order is asked. If the reader is silent, an instance
// reads the store itself, so that a reader that is cut off or paused delays
// nobody for longer than relayMargin.
type CatalogRelay struct {
	config CatalogRelayConfig
	client *http.Client
	secret string
	mirror *mirror
	// started is when this instance started.
	started time.Time
	// starts are taken by peers that are told the whole catalog.
	starts *semaphore.Weighted
}

// NewCatalogRelay returns a relay.
func NewCatalogRelay(config CatalogRelayConfig) *CatalogRelay {
	return &CatalogRelay{
		config: config,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, MaxResponseHeaderBytes: maxPeerHeader, IdleConnTimeout: 10 * time.Second}},
		secret: listSecret(config.Secret),
		mirror: newMirror(),

		started: config.Clock.Now(),
		starts:  semaphore.NewWeighted(maxStarts),
	}
}

// EndpointChanges returns the changes of the endpoint list from a reader or the
// store.
func (r *CatalogRelay) EndpointChanges(ctx context.Context, after savorystep.CatalogVersion, wait time.Duration) (savorystep.EndpointChanges, error) {
	return readCatalog(ctx, r, catalogQuery{after: after, wait: wait}, catalogRead[listAnswer, savorystep.EndpointChanges]{
		path:    listPath,
		store:   r.config.Catalog.EndpointChanges,
		changes: r.mirror.listChanges,
		apply:   r.mirror.applyList,
	})
}

// OperatorChanges returns the changes of the operators' orders from a reader or the
// store.
func (r *CatalogRelay) OperatorChanges(ctx context.Context, after savorystep.CatalogVersion, wait time.Duration) (savorystep.OperatorChanges, error) {
	return readCatalog(ctx, r, catalogQuery{after: after, wait: wait}, catalogRead[ordersAnswer, savorystep.OperatorChanges]{
		path:    ordersPath,
		store:   r.config.Catalog.OperatorChanges,
		changes: ordersAnswer.changes,
		apply:   r.mirror.applyOrders,
		next:    r.next,
	})
}

// A catalogRead is how one part of the catalog is read. A is the answer of a
// peer, C the changes.
type catalogRead[A, C any] struct {
	path    string
	store   func(context.Context, savorystep.CatalogVersion, time.Duration) (C, error)
	changes func(A) (C, error)
	// apply takes changes from the store or from a peer.
	apply func(now time.Time, changes C, from source)
	// next, if not nil, returns whom the first reader asks when the store turns
	// it away. The list is not asked for: a peer's answer would hide that the
	// store fails, and entries that lapse meanwhile would not be kept for their
	// return.
	next func() savorystep.Address
}

// readCatalog asks the readers, then the store, then whoever else may know.
func readCatalog[A, C any](ctx context.Context, r *CatalogRelay, query catalogQuery, read catalogRead[A, C]) (C, error) {
	switch {
	case query.after == 0 && r.config.FirstStart:
		if changes, ok := startFromPeers(ctx, r, read); ok {
			return changes, nil
		}
	case query.after != 0:
		for _, reader := range r.readers() {
			changes, err := fetchChanges(ctx, r, reader, query, read)
			if err == nil {
				return changes, nil
			}
			logger.Debugf("%s from %s: %v", read.path, reader, err)
			if !errors.Is(err, errStale) {
				// Another silent reader would take too long.
				break
			}
		}
	}
	changes, err := read.store(ctx, query.after, query.wait)
	if err == nil {
		read.apply(r.config.Clock.Now(), changes, sourceStore)
		return changes, nil
	}
	if query.after != 0 {
		return askNext(ctx, r, query, read, changes, err)
	}
	answer, peerErr := firstOf[A](ctx, r, read.path)
	if peerErr != nil {
		return changes, err
	}
	known, peerErr := read.changes(answer)
	if peerErr != nil {
		return changes, err
	}
	read.apply(r.config.Clock.Now(), known, sourceStart)
	return known, nil
}

// askNext asks the next reader after the store failed. It returns the outcome of
// the store if that does not help.
func askNext[A, C any](ctx context.Context, r *CatalogRelay, query catalogQuery, read catalogRead[A, C], changes C, err error) (C, error) {
	if read.next == nil {
		return changes, err
	}
	address := read.next()
	if address == "" {
		return changes, err
	}
	known, peerErr := fetchChanges(ctx, r, address, query, read)
	if peerErr != nil {
		logger.Debugf("%s from %s: %v", read.path, address, peerErr)
		return changes, err
	}
	return known, nil
}

// fetchChanges asks a peer for changes and takes them.
func fetchChanges[A, C any](ctx context.Context, r *CatalogRelay, reader savorystep.Address, query catalogQuery, read catalogRead[A, C]) (C, error) {
	var changes C
	answer, err := fetchCatalog[A](ctx, r, reader, read.path, query)
	if err == nil {
		changes, err = read.changes(answer)
	}
	if err == nil {
		from := sourceReader
		if query.after == 0 {
			from = sourceStart
		}
		read.apply(r.config.Clock.Now(), changes, from)
	}
	return changes, err
}

// firstOf asks peers for the whole catalog, however old, when this instance
// starts and the store does not answer. What a peer works by is better than
// nothing; later reads bring what changed since.
func firstOf[T any](ctx context.Context, r *CatalogRelay, path string) (T, error) {
	var answer T
	err := error(savorystep.NewError(savorystep.KindNotReady, "no peer is ready"))
	self := r.config.Members.Self()
	for _, m := range r.config.Members.Members(r.config.Clock.Now()) {
		if m.Instance.ID == self.ID || !m.Ready {
			continue
		}
		answer, err = fetchCatalog[T](ctx, r, m.Instance.PeerAddress, path, catalogQuery{old: true})
		if err == nil {
			logger.Infof("the catalog comes from peer %s, the store does not answer", m.Instance.ID)
			return answer, nil
		}
	}
	return answer, err
}

// readers returns the addresses of the readers to ask: the first ready
// instances in the region's order, if they stand before this one.
func (r *CatalogRelay) readers() []savorystep.Address {
	order, own := r.order(r.config.Clock.Now())
	return order[:min(own, askedReaders)]
}

// next returns the instance that follows on this one in the region's order if
// this one is the first, empty otherwise.
func (r *CatalogRelay) next() savorystep.Address {
	order, own := r.order(r.config.Clock.Now())
	if own > 0 || len(order) == 0 {
		return ""
	}
	return order[0]
}

// order returns the other ready instances of the region in the order of readers
// and the place of this one among them. All instances compute the same order
// from the same members. While the system starts for the first time, those that
// are not known as ready count too.
func (r *CatalogRelay) order(now time.Time) (addresses []savorystep.Address, own int) {
	type ranked struct {
		address savorystep.Address
		hash    uint64
	}
	self := r.config.Members.Self()
	selfHash := xxh3.HashString(string(self.ID))
	isStarting := r.config.FirstStart && now.Sub(r.started) < startTime
	var others []ranked
	for _, m := range r.config.Members.Members(now) {
		if m.Instance.Place.Region != self.Place.Region || m.Instance.ID == self.ID || m.Leaving {
			continue
		}
		if !m.Ready && !isStarting {
			continue
		}
		hash := xxh3.HashString(string(m.Instance.ID))
		others = append(others, ranked{address: m.Instance.PeerAddress, hash: hash})
		if hash < selfHash {
			own++
		}
	}
	slices.SortFunc(others, func(a, b ranked) int { return cmp.Compare(a.hash, b.hash) })
	addresses = make([]savorystep.Address, len(others))
	for i, o := range others {
		addresses[i] = o.address
	}
	return addresses, own
}
