package peer

import (
	"context"
	"errors"
	"net/http"
	"time"

	"golang.org/x/sync/semaphore"

	"savorystep"
	"savorystep/http1"
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
// paused reader delays nobody by more than readerTimeoutMargin. If the store fails,
// too, the follower gets the operators' configuration from any peer whose picture is
// recent.
type CatalogRelay struct {
	config        CatalogRelayConfig
	client        *http.Client
	authorization string
	mirror        *mirror
	// startedAt is when the relay was created.
	startedAt time.Time
	// fullReads limits the concurrent requests of peers for the whole catalog.
	fullReads *semaphore.Weighted
	// relayedReads limits the concurrent queries of peers that search for a recent
	// picture.
	relayedReads  *semaphore.Weighted
	fallbackOrder fallbackOrder
	sources       catalogSources
}

// NewCatalogRelay returns a relay that has not read the catalog yet.
func NewCatalogRelay(config CatalogRelayConfig) *CatalogRelay {
	if config.Client == nil {
		config.Client = &http.Client{Transport: http1.Transport{RoundTripper: &http.Transport{MaxIdleConnsPerHost: 2, MaxResponseHeaderBytes: maxPeerHeaderBytes, IdleConnTimeout: 10 * time.Second}}}
	}
	if config.AgeClock == nil {
		config.AgeClock = config.Clock
	}
	return &CatalogRelay{
		config:        config,
		client:        config.Client,
		authorization: peerAuthorization(config.Secret),
		mirror:        newMirror(),

		startedAt:    config.Clock.Now(),
		fullReads:    semaphore.NewWeighted(maxFullReads),
		relayedReads: semaphore.NewWeighted(maxRelayedReads),
	}
}

// EndpointChanges returns the changes of the endpoint list after a version,
// from a reader or from the store.
func (r *CatalogRelay) EndpointChanges(ctx context.Context, after savorystep.CatalogVersion, wait time.Duration) (savorystep.EndpointChanges, error) {
	reading, err := readCatalog(ctx, r, catalogQuery{after: after, maxWait: wait}, catalogSection[endpointsResponse, savorystep.EndpointChanges]{
		path:           endpointsPath,
		readStore:      r.config.Catalog.EndpointChanges,
		decodeResponse: r.mirror.expandReports,
		apply:          r.mirror.applyEndpoints,
		freshness:      &r.mirror.endpoints.freshness,
		maxAge:         maxEndpointsAge,
	})
	return reading.changes, err
}

// OperatorChanges returns the changes of the operators' configuration after a
// version, from a reader or from the store, or from another peer if those fail.
func (r *CatalogRelay) OperatorChanges(ctx context.Context, after savorystep.CatalogVersion, wait time.Duration) (savorystep.OperatorChanges, error) {
	reading, err := readCatalog(ctx, r, catalogQuery{after: after, maxWait: wait}, catalogSection[operatorResponse, savorystep.OperatorChanges]{
		path:           operatorPath,
		readStore:      r.config.Catalog.OperatorChanges,
		decodeResponse: operatorResponse.changes,
		apply:          r.mirror.applyOperator,
		hasFallback:    true,
		freshness:      &r.mirror.operator.freshness,
		maxAge:         maxOperatorAge,
	})
	reading.changes.IsFallback = reading.origin == originFallback
	return reading.changes, err
}

// catalogChanges are the changes of a section up to a version.
type catalogChanges interface {
	UpTo() savorystep.CatalogVersion
	HasWaited() bool
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
	// hasFallback is true if other peers are queried when neither the readers nor the
	// store respond. The endpoint list has no fallback: the response of a peer would
	// hide that the store fails, and endpoints whose entries expire during the failure
	// would not be retained until they report again.
	hasFallback bool
}
