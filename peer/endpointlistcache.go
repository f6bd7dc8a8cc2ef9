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
	// EndpointListPath is the path of the endpoint list on the peers' listener.
	EndpointListPath = "/lists/endpoints"
	// maxListBytes limits the encoded list. 20,000 endpoints take about 4 MB.
	maxListBytes = 16 << 20
	// endpointListTimeout limits one request to a peer.
	endpointListTimeout = time.Second
)

// endpointListCodec encodes the list of endpoints.
var endpointListCodec = Codec[[]savorystep.Endpoint]{Limit: maxListBytes}

var _ savorystep.Registry = &EndpointListCache{}

// An EndpointListCache wraps the platform's registry and keeps the last
// endpoint list. An instance that starts while the platform is down fetches the
// list from a peer that has read it.
type EndpointListCache struct {
	savorystep.Registry
	config        EndpointListCacheConfig
	authorization string

	mu   sync.Mutex
	list []savorystep.Endpoint
}

// An EndpointListCacheConfig configures an EndpointListCache.
type EndpointListCacheConfig struct {
	// Client sends requests to peers. If it is nil, http.DefaultClient is used.
	Client *http.Client
	// Members provides the addresses of peers, in addition to Seeds.
	Members  savorystep.Members
	Registry savorystep.Registry
	// Secret is shared by all instances. It authenticates their requests.
	Secret string
	Seeds  []savorystep.Address
}

// NewEndpointListCache returns an empty cache.
func NewEndpointListCache(config EndpointListCacheConfig) *EndpointListCache {
	if config.Client == nil {
		config.Client = http.DefaultClient
	}
	return &EndpointListCache{Registry: config.Registry, config: config, authorization: peerAuthorization(config.Secret)}
}

// Endpoints returns the endpoint list of the platform, or that of a peer if the
// platform fails and no list has been read since the start.
func (c *EndpointListCache) Endpoints(ctx context.Context) ([]savorystep.Endpoint, error) {
	list, err := c.Registry.Endpoints(ctx)
	if err == nil {
		c.replace(list)
		return list, nil
	}
	if c.current() != nil {
		return nil, err
	}
	for _, address := range c.peerAddresses() {
		list, peerErr := c.fetch(ctx, address)
		if peerErr == nil {
			c.replace(list)
			logger.Infof("read list of %d endpoints from peer %s because the platform failed: %v", len(list), address, err)
			return list, nil
		}
	}
	return nil, err
}

// HasList reports whether a list has been read since the start.
func (c *EndpointListCache) HasList() bool {
	return c.current() != nil
}

// ServeHTTP serves the list to a peer. It responds with status 503 if there is
// no list yet.
func (c *EndpointListCache) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), []byte(c.authorization)) != 1 {
		w.WriteHeader(http.StatusUnauthorized)
		return
	}
	list := c.current()
	if list == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	data, err := endpointListCodec.Encode(list)
	if err != nil {
		logger.Errorf("encode endpoint list: %v", err)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/cbor")
	_, _ = w.Write(data)
}

// replace replaces the list.
func (c *EndpointListCache) replace(list []savorystep.Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list = append([]savorystep.Endpoint{}, list...)
}

// current returns the list, nil if there is none.
func (c *EndpointListCache) current() []savorystep.Endpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.list
}

// peerAddresses returns the peer addresses of the other members, followed by
// the seeds.
func (c *EndpointListCache) peerAddresses() []savorystep.Address {
	var addresses []savorystep.Address
	self := c.config.Members.Self()
	for _, member := range c.config.Members.Members(time.Now()) {
		if member.Instance.ID != self.ID {
			addresses = append(addresses, member.Instance.PeerAddress)
		}
	}
	return append(addresses, c.config.Seeds...)
}

// fetch fetches the list of one peer.
func (c *EndpointListCache) fetch(ctx context.Context, address savorystep.Address) ([]savorystep.Endpoint, error) {
	ctx, cancel := context.WithTimeout(ctx, endpointListTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(address)+EndpointListPath, http.NoBody)
	if err != nil {
		return nil, savorystep.WrapError(savorystep.KindBadRequest, err, "create request to peer %s", address)
	}
	request.Header.Set("Authorization", c.authorization)
	response, err := c.config.Client.Do(request)
	if err != nil {
		return nil, savorystep.WrapError(savorystep.KindNotReady, err, "request endpoint list from peer %s", address)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, savorystep.NewError(savorystep.KindNotReady, "peer %s responded to request for endpoint list with status %d, want %d", address, response.StatusCode, http.StatusOK)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes+1))
	if err != nil {
		return nil, savorystep.WrapError(savorystep.KindNotReady, err, "read endpoint list from peer %s", address)
	}
	return endpointListCodec.Decode(data)
}
