package store

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"savorystep"
)

// log prefixes the lines of this package.
const log = savorystep.Logger("store")

// maxResponse bounds a response in bytes. A page of rows with the largest
// stored answers stays below it.
const maxResponseBytes = 64 << 20

// maxIdle is the number of idle connections kept to the platform. More would
// be silent candidates without use: one instance has few calls in flight.
const maxIdleConns = 16

var (
	_ savorystep.Registry = &Client{}
	_ savorystep.Table    = &Client{}
)

// A Client is a client of the platform's protocol, HTTP with JSON.
type Client struct {
	config       ClientConfig
	base         string
	transport    *http.Transport
	http         *http.Client
	outageLogger outageLogger
	registrar    *registrar
}

// New returns a client of the platform at the configured address. It connects
// with the first call.
func NewClient(config ClientConfig) *Client {
	config = config.withDefaults()
	dialer := &net.Dialer{Timeout: config.Timeout, KeepAlive: 10 * time.Second}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     90 * time.Second,
	}
	c := &Client{
		config:    config,
		base:      "http://" + string(config.Address),
		transport: transport,
		http:      &http.Client{Transport: config.Transport},
	}
	if config.Transport == nil {
		c.http.Transport = transport
	}
	c.registrar = newRegistrar(c)
	return c
}

// Close ends the registrations, after which the platform lists this process as
// ended, and closes idle connections.
func (c *Client) Close() {
	c.registrar.close()
	c.transport.CloseIdleConnections()
}

// An answer is an HTTP response with its whole body.
type httpResult struct {
	status int
	body   []byte
}

// read makes a call without side effects. A call that fails is made once more,
// because its connection may have gone silent while new ones work; each of the
// two has half of the timeout.
func (c *Client) read(ctx context.Context, path string) (httpResult, error) {
	a, err := c.call(ctx, http.MethodGet, path, nil, c.config.Timeout/2)
	if err != nil && ctx.Err() == nil {
		a, err = c.call(ctx, http.MethodGet, path, nil, c.config.Timeout/2)
	}
	return a, err
}

// call makes one call and returns the response, whatever its status. The error
// has kind KindPlatformDown.
func (c *Client) call(ctx context.Context, method, path string, body []byte, timeout time.Duration) (httpResult, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	a, err := c.roundTrip(ctx, method, path, body)
	if err != nil {
		if errors.Is(err, context.DeadlineExceeded) {
			// The other open connections may be as silent as this one.
			c.transport.CloseIdleConnections()
		}
		err = savorystep.WrapError(savorystep.KindPlatformDown, err, "no answer to %s %s", method, stripQuery(path))
	}
	c.outageLogger.record(c.config.Clock.Now(), err)
	return a, err
}

// roundTrip sends a request and reads the response up to maxResponse.
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
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return httpResult{}, err
	}
	if len(content) > maxResponseBytes {
		return httpResult{}, savorystep.NewError(savorystep.KindPlatformDown, "the response is longer than %d bytes", maxResponseBytes)
	}
	return httpResult{status: response.StatusCode, body: content}, nil
}

// pathOnly cuts the query off, which holds keys of callers.
func stripQuery(path string) string {
	for i := range len(path) {
		if path[i] == '?' {
			return path[:i]
		}
	}
	return path
}

// ErrRefused is the cause of an error of a call that the platform refused with
// status 429 or 503.
var ErrRefused = errors.New("the platform refused the call")

// statusError returns the error for a response that is not a success.
func statusError(a httpResult) error {
	switch a.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return savorystep.WrapError(savorystep.KindPlatformDown, ErrRefused, "status %d", a.status)
	default:
		return savorystep.NewError(savorystep.KindPlatformDown, "status %d: %.200q", a.status, a.body)
	}
}
