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
	// maxEndpointsAge is the greatest age of a reader's last read of the
	// endpoint list for which it answers followers. A reader reads the list
	// every 0.8 s; two failed reads in a row make it too old.
	maxEndpointsAge = 1500 * time.Millisecond
	// maxOperatorAge is the same for the operators' configuration. A read of it
	// waits up to 1.5 s for a change.
	maxOperatorAge = 2200 * time.Millisecond
	// maxPeerHeaderBytes limits the header of a peer's response. The headers of
	// peers have a few hundred bytes; the default of the transport is 10 MiB.
	maxPeerHeaderBytes = 64 << 10
	// readerTimeoutMargin is added to the wait of a request to a reader. After
	// this time the reader counts as unreachable. It covers round trips within
	// a region and a busy processor.
	readerTimeoutMargin = 400 * time.Millisecond
	// maxReaders is the number of readers to which an instance sends its
	// requests. The second one reads the store when the store rejects the first
	// one.
	maxReaders = 2
)

// errStale means that a peer has not read the store recently, or that it is
// serving too many peers.
var errStale = errors.New("peer has not read the store recently or is serving too many peers")

var _ savorystep.Catalog = &CatalogRelay{}

// A CatalogRelayConfig configures a CatalogRelay.
type CatalogRelayConfig struct {
	// AgeClock measures the age of the catalog. It should count the time during which
	// the machine was suspended. If it is nil, Clock is used.
	AgeClock savorystep.Clock
	// Catalog reads the platform's store.
	Catalog savorystep.Catalog
	// Client sends requests to peers. If it is nil, the relay creates one.
	Client  *http.Client
	Clock   savorystep.Clock
	Members savorystep.Members
	// FirstStart is true if the whole system starts for the first time, so that
	// no caller is waiting for it yet.
	FirstStart bool
	// Secret is shared by all instances. It authenticates their requests.
	Secret string
}

// A CatalogRelay wraps a catalog so that one instance of each region, the
// reader, reads the platform's store and the others, its followers, send their
// requests to the reader. This limits the calls to the store, which are the
// main cost of a large fleet. If the reader has not read the store recently,
// the next instance in the region's reader order is tried. If the reader does
// not respond, a follower reads the store itself, so that a disconnected or
// paused reader delays nobody by more than readerTimeoutMargin.
type CatalogRelay struct {
	config        CatalogRelayConfig
	client        *http.Client
	authorization string
	mirror        *mirror
	// startedAt is when the relay was created.
	startedAt time.Time
	// fullReads limits the concurrent requests of peers for the whole catalog.
	fullReads *semaphore.Weighted
	sources   catalogSources
}

// NewCatalogRelay returns a relay that has not read the catalog yet.
func NewCatalogRelay(config CatalogRelayConfig) *CatalogRelay {
	if config.Client == nil {
		config.Client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, MaxResponseHeaderBytes: maxPeerHeaderBytes, IdleConnTimeout: 10 * time.Second}}
	}
	if config.AgeClock == nil {
		config.AgeClock = config.Clock
	}
	return &CatalogRelay{
		config:        config,
		client:        config.Client,
		authorization: peerAuthorization(config.Secret),
		mirror:        newMirror(),

		startedAt: config.Clock.Now(),
		fullReads: semaphore.NewWeighted(maxFullReads),
	}
}

// EndpointChanges returns the changes of the endpoint list after a version,
// from a reader or from the store.
func (r *CatalogRelay) EndpointChanges(ctx context.Context, after savorystep.CatalogVersion, wait time.Duration) (savorystep.EndpointChanges, error) {
	return readCatalog(ctx, r, catalogQuery{after: after, maxWait: wait}, catalogSection[endpointsResponse, savorystep.EndpointChanges]{
		path:           endpointsPath,
		readStore:      r.config.Catalog.EndpointChanges,
		decodeResponse: r.mirror.expandReports,
		apply:          r.mirror.applyEndpoints,
		freshness:      &r.mirror.endpoints.freshness,
		maxAge:         maxEndpointsAge,
	})
}

// OperatorChanges returns the changes of the operators' configuration after a
// version, from a reader or from the store.
func (r *CatalogRelay) OperatorChanges(ctx context.Context, after savorystep.CatalogVersion, wait time.Duration) (savorystep.OperatorChanges, error) {
	return readCatalog(ctx, r, catalogQuery{after: after, maxWait: wait}, catalogSection[operatorResponse, savorystep.OperatorChanges]{
		path:           operatorPath,
		readStore:      r.config.Catalog.OperatorChanges,
		decodeResponse: operatorResponse.changes,
		apply:          r.mirror.applyOperator,
		nextReader:     r.nextReader,
		freshness:      &r.mirror.operator.freshness,
		maxAge:         maxOperatorAge,
	})
}

// catalogChanges are the changes of a section up to a version.
type catalogChanges interface {
	UpTo() savorystep.CatalogVersion
}

// A catalogSection describes how one section of the catalog is read. R is the
// type of a peer's response, C the type of the changes.
type catalogSection[R any, C catalogChanges] struct {
	path           string
	readStore      func(context.Context, savorystep.CatalogVersion, time.Duration) (C, error)
	decodeResponse func(R) (C, error)
	// apply applies changes from the store or from a peer to the mirror.
	// They were up to date at the given time.
	apply func(upToDateAt time.Time, changes C, origin changeOrigin)
	// freshness is that of the section in the mirror, under the mirror's mutex. maxAge
	// is the greatest age of a picture that a reader hands out.
	freshness *freshness
	maxAge    time.Duration
	// nextReader, if not nil, returns the instance that the first reader
	// queries when the store rejects its read. The endpoint list has none: the
	// response of a peer would hide that the store fails, and endpoints whose
	// entries expire during the failure would not be retained until they report
	// again.
	nextReader func() savorystep.Address
}

// readCatalog reads changes from the readers, then from the store, then from
// any other peer.
func readCatalog[R any, C catalogChanges](ctx context.Context, r *CatalogRelay, query catalogQuery, section catalogSection[R, C]) (C, error) {
	var readerErr error
	switch {
	case query.after == 0 && r.config.FirstStart:
		if changes, ok := fetchAtFirstStart(ctx, r, section); ok {
			return changes, nil
		}
	case query.after != 0:
		for _, reader := range r.readers() {
			changes, err := fetchChanges(ctx, r, reader, query, section)
			if err == nil {
				r.sources.record(section.path, "reader "+string(reader), nil)
				return changes, nil
			}
			readerErr = err
			logger.Debugf("read %s from reader %s: %v", section.path, reader, err)
			if !errors.Is(err, errStale) {
				// Waiting for another unreachable reader would take too long.
				break
			}
		}
	}
	reading := r.startReading()
	changes, err := section.readStore(ctx, query.after, query.maxWait)
	if errors.Is(err, savorystep.ErrChangesDropped) {
		return resync(ctx, r, query, section)
	}
	if err == nil {
		r.sources.record(section.path, "the store", readerErr)
		section.apply(reading.upToDateAt(), changes, originStore)
		return changes, nil
	}
	if query.after != 0 {
		return readFromNextReader(ctx, r, query, section, changes, err)
	}
	response, peerErr := fetchFromAnyPeer[R](ctx, r, section.path)
	if peerErr != nil {
		return changes, err
	}
	peerChanges, peerErr := section.decodeResponse(response)
	if peerErr != nil {
		return changes, err
	}
	section.apply(r.config.AgeClock.Now(), peerChanges, originPeer)
	return peerChanges, nil
}

// readFromNextReader reads changes from the next reader after the store failed.
// If that is not possible, it returns storeChanges and storeErr, the result of
// the store.
func readFromNextReader[R any, C catalogChanges](ctx context.Context, r *CatalogRelay, query catalogQuery, section catalogSection[R, C], storeChanges C, storeErr error) (C, error) {
	if section.nextReader == nil {
		return storeChanges, storeErr
	}
	address := section.nextReader()
	if address == "" {
		return storeChanges, storeErr
	}
	peerChanges, peerErr := fetchChanges(ctx, r, address, query, section)
	if peerErr != nil {
		logger.Debugf("read %s from next reader %s: %v", section.path, address, peerErr)
		return storeChanges, storeErr
	}
	r.sources.record(section.path, "next reader "+string(address), storeErr)
	return peerChanges, nil
}

// fetchChanges fetches changes from a peer and applies them to the mirror. The error
// wraps errStale if the picture of this instance, with them, is about to become too
// old.
func fetchChanges[R any, C catalogChanges](ctx context.Context, r *CatalogRelay, address savorystep.Address, query catalogQuery, section catalogSection[R, C]) (C, error) {
	var changes C
	updatedAt := r.mirror.updatedAt(section.freshness)
	if query.after != 0 {
		query.maxWait = maxWaitAt(r.config.AgeClock.Now(), updatedAt, query.maxWait, section.maxAge)
	}
	response, age, err := fetchCatalog[R](ctx, r, address, section.path, query)
	if err == nil {
		changes, err = section.decodeResponse(response)
	}
	if err != nil {
		return changes, err
	}
	now, origin := r.config.AgeClock.Now(), originPeer
	upToDateAt := latest(updatedAt, now.Add(-age))
	if query.after != 0 {
		origin = originReader
		if pictureAge := now.Sub(upToDateAt); pictureAge >= section.maxAge-followerMargin {
			return changes, savorystep.WrapError(savorystep.KindNotReady, errStale, "read %s from peer %s: the picture is %v old", section.path, address, pictureAge)
		}
	}
	section.apply(upToDateAt, changes, origin)
	return changes, nil
}

// fetchFromAnyPeer fetches the whole catalog, of any age, from the first ready
// peer that responds, those with the newest configuration first. An instance uses it when it starts while the store does
// not respond: an old catalog is better than none, and later reads deliver the
// changes since.
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

// readers returns the addresses of the readers to query: the first instances of
// the reader order that precede this one.
func (r *CatalogRelay) readers() []savorystep.Address {
	order, position := r.readerOrder(r.config.Clock.Now())
	return order[:min(position, maxReaders)]
}

// nextReader returns the instance after this one in the reader order if this
// one is the first, "" otherwise.
func (r *CatalogRelay) nextReader() savorystep.Address {
	order, position := r.readerOrder(r.config.Clock.Now())
	if position > 0 || len(order) == 0 {
		return ""
	}
	return order[0]
}

// readerOrder returns the addresses of the other ready instances of the region,
// ordered by the hash of their IDs, and the position of this instance among
// them. All instances compute the same order from the same members. During the
// first start of the system, instances that are not known to be ready are
// included.
func (r *CatalogRelay) readerOrder(now time.Time) (addresses []savorystep.Address, position int) {
	type ranked struct {
		address savorystep.Address
		hash    uint64
	}
	self := r.config.Members.Self()
	selfHash := xxh3.HashString(string(self.ID))
	isFirstStart := r.config.FirstStart && now.Sub(r.startedAt) < firstStartWindow
	var others []ranked
	for _, m := range r.config.Members.Members(now) {
		if m.Instance.Place.Region != self.Place.Region || m.Instance.ID == self.ID || m.Leaving {
			continue
		}
		if !m.Ready && !isFirstStart {
			continue
		}
		hash := xxh3.HashString(string(m.Instance.ID))
		others = append(others, ranked{address: m.Instance.PeerAddress, hash: hash})
		if hash < selfHash {
			position++
		}
	}
	slices.SortFunc(others, func(a, b ranked) int { return cmp.Compare(a.hash, b.hash) })
	addresses = make([]savorystep.Address, len(others))
	for i, o := range others {
		addresses[i] = o.address
	}
	return addresses, position
}
