package peer

import (
	"context"
	"crypto/subtle"
	"io"
	"net/http"
	"sync"
	"time"

	"savorystep"
)

const (
	// EndpointListPath is the path of the list of endpoints on the peers' listener.
	EndpointListPath = "/lists/endpoints"
	// maxList bounds the list in bytes. 20,000 endpoints take about 4 MB.
	maxList = 16 << 20
	// listTimeout bounds one request to a peer.
	listTimeout = time.Second
)

// listCodec encodes the list of endpoints.
var listCodec = Codec[[]savorystep.Endpoint]{Limit: maxList}

var _ savorystep.Registry = &EndpointListCache{}

// An EndpointListCache wraps the platform's lists. An instance that starts while the
// platform is down has no list of endpoints; it then gets one from a peer that
// has read it.
type EndpointListCache struct {
	savorystep.Registry
	config EndpointListCacheConfig
	secret string

	mu   sync.Mutex
	list []savorystep.Endpoint
}

// An EndpointListCacheConfig configures an EndpointListCache.
type EndpointListCacheConfig struct {
	// Client sends requests to peers; nil means http.DefaultClient.
	Client *http.Client
	// Members gives the addresses of peers, together with Seeds.
	Members  savorystep.Members
	Registry savorystep.Registry
	// Secret is shared by all instances.
	Secret string
	Seeds  []savorystep.Address
}

// NewEndpointListCache returns a cache without a list.
func NewEndpointListCache(config EndpointListCacheConfig) *EndpointListCache {
	if config.Client == nil {
		config.Client = http.DefaultClient
	}
	return &EndpointListCache{Registry: config.Registry, config: config, secret: listSecret(config.Secret)}
}

// Endpoints lists the endpoints: from the platform, or from a peer if the
// platform does not answer and no list was read since the start.
func (c *EndpointListCache) Endpoints(ctx context.Context) ([]savorystep.Endpoint, error) {
	list, err := c.Registry.Endpoints(ctx)
	if err == nil {
		c.keep(list)
		return list, nil
	}
	if c.last() != nil {
		return nil, err
	}
	for _, address := range c.addresses() {
		list, peerErr := c.fetch(ctx, address)
		if peerErr == nil {
			c.keep(list)
			logger.Infof("%d endpoints are known from peer %s; the platform is down.", len(list), address)
			return list, nil
		}
	}
	return nil, err
}

// HasList reports whether a list was read since the start.
func (c *EndpointListCache) HasList() bool {
	return c.last() != nil
}

// ServeHTTP gives the list to a peer.
func (c *EndpointListCache) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), []byte(c.secret)) != 1 {
		w.WriteHeader(http.StatusUnauthorized)
		return
	}
	list := c.last()
	if list == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	data, err := listCodec.Encode(list)
	if err != nil {
		logger.Errorf("The list of endpoints can't be encoded: %v.", err)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/cbor")
	_, _ = w.Write(data)
}

// keep replaces the list.
func (c *EndpointListCache) keep(list []savorystep.Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list = append([]savorystep.Endpoint{}, list...)
}

// last returns the last list, nil if there is none.
func (c *EndpointListCache) last() []savorystep.Endpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.list
}

// addresses returns the peer addresses of members and seeds.
func (c *EndpointListCache) addresses() []savorystep.Address {
	var addresses []savorystep.Address
	self := c.config.Members.Self()
	for _, member := range c.config.Members.Members(time.Now()) {
		if member.Instance.ID != self.ID {
			addresses = append(addresses, member.Instance.PeerAddress)
		}
	}
	return append(addresses, c.config.Seeds...)
}

// fetch gets the list of one peer.
func (c *EndpointListCache) fetch(ctx context.Context, address savorystep.Address) ([]savorystep.Endpoint, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(address)+EndpointListPath, http.NoBody)
	if err != nil {
		return nil, savorystep.WrapError(savorystep.KindBadRequest, err, "peer address %s", address)
	}
	request.Header.Set("Authorization", c.secret)
	response, err := c.config.Client.Do(request)
	if err != nil {
		return nil, savorystep.WrapError(savorystep.KindNotReady, err, "peer %s does not answer", address)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, savorystep.NewError(savorystep.KindNotReady, "peer %s answered with status %d", address, response.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxList+1))
	if err != nil {
		return nil, savorystep.WrapError(savorystep.KindNotReady, err, "the list of peer %s ended early", address)
	}
	return listCodec.Decode(data)
}
