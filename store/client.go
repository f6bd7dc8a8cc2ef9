package store

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"savorystep"
	"savorystep/http1"
)

// log is the logger of this package.
const log = savorystep.Logger("store")

// maxResponseBytes bounds the body of a response. A page of rows with the
// largest stored responses stays below it.
const maxResponseBytes = 64 << 20

// maxIdleConns bounds the idle connections to the platform. An instance has few
// calls in flight, and each further idle connection may have become
// unresponsive without notice.
const maxIdleConns = 16

var (
	_ savorystep.Registry = &Client{}
	_ savorystep.Table    = &Client{}
)

// A Client calls the platform's HTTP and JSON protocol.
type Client struct {
	config       ClientConfig
	base         string
	transport    *http.Transport
	http         *http.Client
	outageLogger outageLogger
	registrar    *registrar

	mu    sync.Mutex
	era   savorystep.StoreEra
	eraAt time.Time
}

// NewClient returns a client of the platform at the configured address. It
// connects with the first call.
func NewClient(config ClientConfig) *Client {
	config = config.withDefaults()
	dialer := &net.Dialer{Timeout: config.Timeout, KeepAlive: 10 * time.Second}
	transport := &http.Transport{
		DialContext:         http1.DialWithBreaks(dialer.DialContext),
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     90 * time.Second,
	}
	c := &Client{
		config:    config,
		base:      "http://" + string(config.Address),
		transport: transport,
	}
	if config.Transport == nil {
		config.Transport = transport
	}
	c.http = &http.Client{Transport: http1.Transport{RoundTripper: config.Transport}}
	c.registrar = newRegistrar(c)
	return c
}

// Close closes the registrations, after which the platform lists this process
// as ended, and the idle connections.
func (c *Client) Close() {
	c.registrar.close()
	c.transport.CloseIdleConnections()
}

// An httpResult is the status, the era and the whole body of an HTTP response.
type httpResult struct {
	status int
	body   []byte
	// era is 0 if the response states none.
	era savorystep.StoreEra
}

// read makes a call without side effects. It repeats a failed call once,
// because the connection may have become unresponsive while new ones work. Each
// try has half of the timeout.
func (c *Client) read(ctx context.Context, path string) (httpResult, error) {
	result, err := c.call(ctx, http.MethodGet, path, nil, c.config.Timeout/2)
	if err != nil && ctx.Err() == nil {
		result, err = c.call(ctx, http.MethodGet, path, nil, c.config.Timeout/2)
	}
	return result, err
}

// call makes one call and returns the response, whatever its status. The error
// has kind KindPlatformDown.
func (c *Client) call(ctx context.Context, method, path string, body []byte, timeout time.Duration) (httpResult, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	result, err := c.roundTrip(ctx, method, path, body)
	if err != nil {
		if errors.Is(err, context.DeadlineExceeded) {
			// The other open connections may be unresponsive too.
			c.transport.CloseIdleConnections()
		}
		err = savorystep.WrapError(savorystep.KindPlatformDown, err, "no response to %s %s", method, stripQuery(path))
	}
	now := c.config.Clock.Now()
	c.outageLogger.record(now, err)
	c.recordEra(result.era, now)
	return result, err
}

// Era returns the latest era that a response of the table stated, and the time of the
// last response that stated it. Both are zero before the first one.
func (c *Client) Era() (savorystep.StoreEra, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.era, c.eraAt
}

// recordEra records the era that a response stated, if any.
func (c *Client) recordEra(era savorystep.StoreEra, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if era != 0 && era >= c.era {
		c.era, c.eraAt = era, now
	}
}

// roundTrip sends a request and reads the response, up to maxResponseBytes.
func (c *Client) roundTrip(ctx context.Context, method, path string, body []byte) (httpResult, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return httpResult{}, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return httpResult{}, err
	}
	defer func() { _ = response.Body.Close() }()
	responseBody, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return httpResult{}, err
	}
	if len(responseBody) > maxResponseBytes {
		return httpResult{}, savorystep.NewError(savorystep.KindPlatformDown, "response body longer than the allowed %d bytes", maxResponseBytes)
	}
	return httpResult{status: response.StatusCode, body: responseBody, era: parseEra(response.Header)}, nil
}

// parseEra returns the era that the header of a response states, or 0 if it states
// none or no number.
func parseEra(header http.Header) savorystep.StoreEra {
	era, err := strconv.ParseUint(header.Get(savorystep.HeaderEra), 10, savorystep.StoreEraBits)
	if err != nil {
		return 0
	}
	return savorystep.StoreEra(era)
}

// stripQuery removes the query, which may contain keys of callers, from a path.
func stripQuery(path string) string {
	for i := range len(path) {
		if path[i] == '?' {
			return path[:i]
		}
	}
	return path
}

// ErrRefused is the cause of the error of a call that the platform refused with
// status 429 or 503.
var ErrRefused = errors.New("call refused by the platform")

// statusError returns the error for an unexpected response status.
func statusError(result httpResult) error {
	switch result.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return savorystep.WrapError(savorystep.KindPlatformDown, ErrRefused, "platform responded with status %d", result.status)
	default:
		return savorystep.NewError(savorystep.KindPlatformDown, "platform responded with unexpected status %d: %.200q", result.status, result.body)
	}
}
