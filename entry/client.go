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
)

const (
	defaultAttempts = 4
	defaultTimeout  = 10 * time.Second
	// maxBody bounds the answers that are kept in memory, in bytes.
	maxBody = 256 << 20
	// maxLookup bounds the answer to a lookup, in bytes.
	maxLookup = 1 << 20
	// lookupTimeout bounds one lookup, so that a silent entry does not use up
	// the time of the request.
	lookupTimeout = 2 * time.Second
	// renewPause is the time between lookups of a name whose known entries
	// can't be reached. Entries take 2 to 3 s to leave a killed one out.
	renewPause = 500 * time.Millisecond
)

// A Client calls services through entries.
type Client struct {
	config ClientConfig
	http   *http.Client

	mu       sync.Mutex
	revision savorystep.Revision
	cache    map[savorystep.Name]cachedLookup
	known    []savorystep.Address
	// avoided holds the entries that can't be reached, each until a time.
	avoided map[savorystep.Address]time.Time
}

// A cachedLookup is an answer to a lookup with the time until which it holds.
type cachedLookup struct {
	savorystep.Lookup
	until time.Time
	// renewed is when the name was last looked up before until.
	renewed time.Time
}

// NewClient returns a client.
func NewClient(config ClientConfig) *Client {
	if config.MaxAttempts == 0 {
		config.MaxAttempts = defaultAttempts
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
		config:  config,
		http:    &http.Client{Transport: transport},
		avoided: make(map[savorystep.Address]time.Time),
		cache:   make(map[savorystep.Name]cachedLookup),
		known:   append([]savorystep.Address(nil), config.SeedAddresses...),
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Lookup returns the entries for a name, from the cache while it holds.
func (c *Client) Lookup(ctx context.Context, name savorystep.Name) (savorystep.Lookup, error) {
	now := c.config.Clock.Now()
	c.mu.Lock()
	cached, ok := c.cache[name]
	known := c.reachableFirst(now)
	c.mu.Unlock()
	if ok && now.Before(cached.until) && !c.shouldRenew(now, name) {
		return cached.Lookup, nil
	}
	lookup, err := c.askAny(ctx, name, known)
	if err != nil {
		if ok && savorystep.KindOf(err) != savorystep.KindUnknownName {
			return cached.Lookup, nil
		}
		return savorystep.Lookup{}, err
	}
	c.remember(name, lookup, now)
	return lookup, nil
}

// askAny asks entries one after the other until one answers.
func (c *Client) askAny(ctx context.Context, name savorystep.Name, known []savorystep.Address) (savorystep.Lookup, error) {
	var last error = savorystep.NewError(savorystep.KindNotReady, "no entry is known")
	for _, address := range known {
		limited, cancel := context.WithTimeout(ctx, lookupTimeout)
		lookup, err := c.ask(limited, address, name)
		cancel()
		if err == nil {
			return lookup, nil
		}
		last = err
		if isUnreachable(err) {
			c.avoid(address)
		}
		if savorystep.KindOf(err) == savorystep.KindUnknownName || ctx.Err() != nil {
			break
		}
	}
	return savorystep.Lookup{}, last
}

// ask asks one entry.
func (c *Client) ask(ctx context.Context, address savorystep.Address, name savorystep.Name) (savorystep.Lookup, error) {
	query := url.Values{"name": {string(name)}}
	if c.config.Origin != "" {
		query.Set("from", c.config.Origin)
	}
	c.mu.Lock()
	query.Set("revision", strconv.FormatUint(uint64(c.revision), 10))
	c.mu.Unlock()
	target := fmt.Sprintf("http://%s/v1/lookup?%s", address, query.Encode())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	if err != nil {
		return savorystep.Lookup{}, savorystep.WrapError(savorystep.KindBadRequest, err, "the lookup can't be made")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return savorystep.Lookup{}, savorystep.WrapError(savorystep.KindNotReady, errors.Join(errUnreachable, err), "entry %s does not answer", address)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxLookup))
	if err != nil {
		return savorystep.Lookup{}, savorystep.WrapError(savorystep.KindNotReady, err, "the answer of entry %s ended early", address)
	}
	if response.StatusCode != http.StatusOK {
		return savorystep.Lookup{}, refusalError(response, body)
	}
	var lookup savorystep.Lookup
	if err := json.Unmarshal(body, &lookup); err != nil {
		return savorystep.Lookup{}, savorystep.WrapError(savorystep.KindInternal, err, "the answer of entry %s is not JSON", address)
	}
	lookup.TTL = time.Duration(lookup.TTLMillis) * time.Millisecond
	return lookup, nil
}

// remember caches an answer and the entries it names.
func (c *Client) remember(name savorystep.Name, lookup savorystep.Lookup, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revision = max(c.revision, lookup.Revision)
	c.cache[name] = cachedLookup{Lookup: lookup, until: now.Add(lookup.TTL), renewed: now}
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
	c.known = addresses
}

// Evict drops the cached answer for a name.
func (c *Client) Evict(name savorystep.Name) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.cache, name)
}

// refusalError returns the error that an entry's refusal stands for.
func refusalError(response *http.Response, body []byte) error {
	kind, ok := savorystep.ParseKind(response.Header.Get(savorystep.HeaderKind))
	if !ok {
		return savorystep.NewError(savorystep.KindInternal, "an entry answered with status %d and no kind", response.StatusCode)
	}
	var refusal struct {
		Detail      string               `json:"detail"`
		Delay       int64                `json:"delay"`
		Suggestions []savorystep.Service `json:"suggestions"`
	}
	if err := json.Unmarshal(body, &refusal); err != nil {
		refusal.Detail = "the entry gave no reason"
	}
	err := savorystep.NewError(kind, "%s", refusal.Detail)
	err.RetryDelay = time.Duration(refusal.Delay) * time.Millisecond
	err.Suggestions = refusal.Suggestions
	err.MayHaveExecuted = response.Header.Get(savorystep.HeaderRan) != savorystep.NotExecuted.String()
	return err
}
