package peer

import (
	"context"
	"net/http"
	"time"

	"github.com/zeebo/xxh3"

	"savorystep"
)

const (
	// listFresh is how old a reader's read of the list may be. A reader reads
	// it every 0.8 s; two reads that fail in a row make it old.
	listFresh = 1500 * time.Millisecond
	// ordersFresh is how old a reader's read of the orders may be. A read waits
	// up to 1.5 s for a change.
	ordersFresh = 2200 * time.Millisecond
	// relayMargin is the time beyond the wait after which a reader counts as
	// silent. It covers round trips within a region and a busy processor.
	relayMargin = 400 * time.Millisecond
)

var _ savorystep.Catalog = &Relay{}

// A RelayConfig configures a Relay.
type RelayConfig struct {
	// Catalog reads the store.
	Catalog savorystep.Catalog
	Clock   savorystep.Clock
	Members savorystep.Members
	// Secret is shared by all instances.
	Secret string
}

// A Relay wraps a catalog so that one instance of each region, its reader,
// reads the store and the others ask the reader. Calls to the store are the
// price of a large fleet. An instance whose reader is silent or has not read
// the store lately reads the store itself, so that a reader that is cut off or
// paused delays nobody for longer than relayMargin.
type Relay struct {
	config RelayConfig
	client *http.Client
	secret string
	mirror *mirror
}

// NewRelay returns a relay.
func NewRelay(config RelayConfig) *Relay {
	return &Relay{
		config: config,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: 10 * time.Second}},
		secret: listSecret(config.Secret),
		mirror: newMirror(),
	}
}

// Endpoints returns the changes of the endpoint list from the reader or the
// store.
func (r *Relay) Endpoints(ctx context.Context, after savorystep.CatalogVersion, wait time.Duration) (savorystep.EndpointChanges, error) {
	if reader := r.reader(); reader != "" && after != 0 {
		answer, err := fetchCatalog[listAnswer](ctx, r, reader, listPath, catalogQuery{after: after, wait: wait})
		if err == nil {
			r.mirror.applyList(r.config.Clock.Now(), answer.Changes, false)
			return answer.Changes, nil
		}
		logger.Debugf("endpoint list from %s: %v", reader, err)
	}
	changes, err := r.config.Catalog.Endpoints(ctx, after, wait)
	if err == nil {
		r.mirror.applyList(r.config.Clock.Now(), changes, true)
		return changes, nil
	}
	if after != 0 {
		return changes, err
	}
	answer, peerErr := firstOf[listAnswer](ctx, r, listPath)
	if peerErr != nil {
		return changes, err
	}
	r.mirror.applyList(r.config.Clock.Now(), answer.Changes, false)
	return answer.Changes, nil
}

// Orders returns the changes of the operators' orders from the reader or the
// store.
func (r *Relay) Orders(ctx context.Context, after savorystep.CatalogVersion, wait time.Duration) (savorystep.OrderChanges, error) {
	if reader := r.reader(); reader != "" && after != 0 {
		answer, err := fetchCatalog[ordersAnswer](ctx, r, reader, ordersPath, catalogQuery{after: after, wait: wait})
		if err == nil {
			changes := answer.changes()
			r.mirror.applyOrders(r.config.Clock.Now(), changes, false)
			return changes, nil
		}
		logger.Debugf("orders from %s: %v", reader, err)
	}
	changes, err := r.config.Catalog.Orders(ctx, after, wait)
	if err == nil {
		r.mirror.applyOrders(r.config.Clock.Now(), changes, true)
		return changes, nil
	}
	if after != 0 {
		return changes, err
	}
	answer, peerErr := firstOf[ordersAnswer](ctx, r, ordersPath)
	if peerErr != nil {
		return changes, err
	}
	changes = answer.changes()
	r.mirror.applyOrders(r.config.Clock.Now(), changes, false)
	return changes, nil
}

// firstOf asks peers for the whole catalog, however old, when this instance
// starts and the store does not answer. What a peer works by is better than
// nothing; later reads bring what changed since.
func firstOf[T any](ctx context.Context, r *Relay, path string) (T, error) {
	var answer T
	err := error(savorystep.NewError(savorystep.KindNotReady, "no peer is ready"))
	self := r.config.Members.Self()
	for _, m := range r.config.Members.Members(r.config.Clock.Now()) {
		if m.Instance.ID == self.ID || !m.Ready {
			continue
		}
		answer, err = fetchCatalog[T](ctx, r, m.Instance.Peer, path, catalogQuery{old: true})
		if err == nil {
			logger.Infof("the catalog comes from peer %s, the store does not answer", m.Instance.ID)
			return answer, nil
		}
	}
	return answer, err
}

// reader returns the address of the region's reader, empty if this instance is
// the reader.
func (r *Relay) reader() savorystep.Address {
	self := r.config.Members.Self()
	best, address := xxh3.HashString(string(self.ID)), savorystep.Address("")
	for _, m := range r.config.Members.Members(r.config.Clock.Now()) {
		if m.Instance.Place.Region != self.Place.Region || m.Instance.ID == self.ID || !m.Ready || m.Leaving {
			continue
		}
		if hash := xxh3.HashString(string(m.Instance.ID)); hash < best {
			best, address = hash, m.Instance.Peer
		}
	}
	return address
}
