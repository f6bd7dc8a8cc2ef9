package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"savorystep"
	"savorystep/http1"
)

const (
	defaultMaxAttempts = 4
	defaultTimeout     = 10 * time.Second
	// maxResponseBodyBytes bounds the responses that are held in memory.
	maxResponseBodyBytes = 256 << 20
	// maxLookupBytes bounds the response to a lookup.
	maxLookupBytes = 1 << 20
	// lookupTimeout bounds a lookup at one entry, so that an entry that does not
	// respond leaves time for a lookup at another one.
	lookupTimeout = 2 * time.Second
	// minRefreshInterval is the minimum time between two lookups of a name while none
	// of its cached entries can be reached. Entries take 2 to 3 s to remove a killed
	// one from their lookup responses.
	minRefreshInterval = 500 * time.Millisecond
)

// A Client sends requests to services through entries. It is safe for concurrent use.
type Client struct {
	config ClientConfig
	http   *http.Client

	mu             sync.Mutex
	newestRevision savorystep.Revision
	cache          map[savorystep.Name]cachedLookup
	knownAddresses []savorystep.Address
	// unreachableUntil holds, for each entry to which a connection failed, the time
	// until which other entries are preferred.
	unreachableUntil map[savorystep.Address]time.Time
}

// A cachedLookup is a lookup response that may be used until expiresAt.
type cachedLookup struct {
	savorystep.Lookup
	expiresAt time.Time
	// refreshedAt is the time of the last lookup of the name, or of the last attempt
	// to refresh it before expiresAt.
	refreshedAt time.Time
}

// NewClient returns a client with the default in place of each value of config that is
// not set.
func NewClient(config ClientConfig) *Client {
	if config.MaxAttempts == 0 {
		config.MaxAttempts = defaultMaxAttempts
	}
	if config.DefaultTimeout <= 0 {
		config.DefaultTimeout = defaultTimeout
	}
	if config.MaxIdleConnectionsPerEntry <= 0 {
		config.MaxIdleConnectionsPerEntry = 64
	}
	dial := config.Dial
	if dial == nil {
		dialer := &net.Dialer{Timeout: 3 * time.Second}
		dial = dialer.DialContext
	}
	transport := &http.Transport{
		DialContext:         dial,
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: config.MaxIdleConnectionsPerEntry,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	return &Client{
		config:           config,
		http:             &http.Client{Transport: http1.Transport{RoundTripper: transport}},
		unreachableUntil: make(map[savorystep.Address]time.Time),
		cache:            make(map[savorystep.Name]cachedLookup),
		knownAddresses:   append([]savorystep.Address(nil), config.SeedAddresses...),
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Lookup returns the entries for a name. It uses the cached response until that expires
// or none of its entries can be reached. If a new lookup fails, it returns the cached
// response all the same, unless the name has become unknown.
func (c *Client) Lookup(ctx context.Context, name savorystep.Name) (savorystep.Lookup, error) {
	now := c.config.Clock.Now()
	c.mu.Lock()
	cached, ok := c.cache[name]
	addresses := c.addressesByReachability(now)
	c.mu.Unlock()
	if ok && now.Before(cached.expiresAt) && !c.shouldRefresh(now, name) {
		return cached.Lookup, nil
	}
	lookup, err := c.lookupAny(ctx, name, addresses)
	if err != nil {
		if ok && savorystep.KindOf(err) != savorystep.KindUnknownName {
			return cached.Lookup, nil
		}
		return savorystep.Lookup{}, err
	}
	c.cacheLookup(name, lookup, now)
	return lookup, nil
}

// lookupAny sends a lookup to one address after the other until one responds. It returns
// the last error if none does or if the name is unknown.
func (c *Client) lookupAny(ctx context.Context, name savorystep.Name, addresses []savorystep.Address) (savorystep.Lookup, error) {
	var lastErr error = savorystep.NewError(savorystep.KindNotReady, "no address of an entry is known")
	for _, address := range addresses {
		lookupCtx, cancel := context.WithTimeout(ctx, lookupTimeout)
		lookup, err := c.lookupFrom(lookupCtx, address, name)
		cancel()
		if err == nil {
			return lookup, nil
		}
		lastErr = err
		if isUnreachable(err) {
			c.markUnreachable(address)
		}
		if savorystep.KindOf(err) == savorystep.KindUnknownName || ctx.Err() != nil {
			break
		}
	}
	return savorystep.Lookup{}, lastErr
}

// lookupFrom sends a lookup to one entry.
func (c *Client) lookupFrom(ctx context.Context, address savorystep.Address, name savorystep.Name) (savorystep.Lookup, error) {
	query := url.Values{"name": {string(name)}}
	if c.config.Origin != "" {
		query.Set("from", c.config.Origin)
	}
	c.mu.Lock()
	query.Set("revision", strconv.FormatUint(uint64(c.newestRevision), 10))
	c.mu.Unlock()
	target := fmt.Sprintf("http://%s/v1/lookup?%s", address, query.Encode())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	if err != nil {
		return savorystep.Lookup{}, savorystep.WrapError(savorystep.KindBadRequest, err, "create lookup of %s at entry %s", name, address)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return savorystep.Lookup{}, savorystep.WrapError(savorystep.KindNotReady, errors.Join(errUnreachable, err), "lookup at entry %s got no response", address)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxLookupBytes))
	if err != nil {
		return savorystep.Lookup{}, savorystep.WrapError(savorystep.KindNotReady, err, "lookup response of entry %s ended early", address)
	}
	if response.StatusCode != http.StatusOK {
		return savorystep.Lookup{}, errorFromRefusal(response, body)
	}
	var lookup savorystep.Lookup
	if err := json.Unmarshal(body, &lookup); err != nil {
		return savorystep.Lookup{}, savorystep.WrapError(savorystep.KindInternal, err, "lookup response of entry %s is not valid JSON", address)
	}
	lookup.TTL = time.Duration(lookup.TTLMillis) * time.Millisecond
	return lookup, nil
}

// cacheLookup caches a lookup response and replaces the known addresses with those of its
// entries and the seeds.
func (c *Client) cacheLookup(name savorystep.Name, lookup savorystep.Lookup, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.newestRevision = max(c.newestRevision, lookup.Revision)
	c.cache[name] = cachedLookup{Lookup: lookup, expiresAt: now.Add(lookup.TTL), refreshedAt: now}
	addresses := make([]savorystep.Address, 0, len(lookup.Entries)+len(c.config.SeedAddresses))
	seen := make(map[savorystep.Address]bool)
	for _, entry := range lookup.Entries {
		if !seen[entry.Address] {
			seen[entry.Address] = true
			addresses = append(addresses, entry.Address)
		}
	}
	for _, seed := range c.config.SeedAddresses {
		if !seen[seed] {
			seen[seed] = true
			addresses = append(addresses, seed)
		}
	}
	c.knownAddresses = addresses
}

// Evict removes the cached lookup response for a name.
func (c *Client) Evict(name savorystep.Name) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.cache, name)
}

// errorFromRefusal converts the refusal of an entry to an error with the same kind,
// detail, retry delay and suggestions.
func errorFromRefusal(response *http.Response, body []byte) error {
	kind, ok := savorystep.ParseKind(response.Header.Get(savorystep.HeaderKind))
	if !ok {
		return savorystep.NewError(savorystep.KindInternal, "entry responded with status %d and no valid %s header", response.StatusCode, savorystep.HeaderKind)
	}
	var refusal struct {
		Detail      string               `json:"detail"`
		Delay       int64                `json:"delay"`
		Suggestions []savorystep.Service `json:"suggestions"`
	}
	if err := json.Unmarshal(body, &refusal); err != nil {
		refusal.Detail = "entry gave no detail"
	}
	err := savorystep.NewError(kind, "%s", refusal.Detail)
	err.RetryDelay = time.Duration(refusal.Delay) * time.Millisecond
	err.Suggestions = refusal.Suggestions
	err.MayHaveExecuted = response.Header.Get(savorystep.HeaderRan) != savorystep.NotExecuted.String()
	return err
}
