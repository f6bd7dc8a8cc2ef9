package upstream

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"savorystep"
	"savorystep/http1"
)

// maxResponseHeader bounds the header of an upstream's response in bytes.
const maxResponseHeader = 256 << 10

// A connSet is one generation of connections to an endpoint. Retiring it closes
// idle connections at once and those in use when their requests have ended.
type connSet struct {
	address savorystep.Address
	// keepAlive reuses connections, singleUse opens a new one for each request.
	keepAlive *http.Transport
	singleUse *http.Transport
	retired   atomic.Bool
}

// newConnSet returns a connSet without connections.
func newConnSet(base *timebase, limits *Limits, info savorystep.Endpoint) *connSet {
	dialer := &net.Dialer{
		Timeout: limits.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: 5 * time.Second, Interval: time.Second, Count: 3,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return setUserTimeout(raw, limits.TCPUserTimeout)
		},
	}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if limits.wrapConn != nil {
			raw = limits.wrapConn(raw, address)
		}
		c := &conn{Conn: raw, base: base, openedAt: base.now(), closeTimeout: limits.CloseTimeout, ended: make(chan struct{})}
		c.lastActivity.Store(c.openedAt)
		return c, nil
	}
	keepAlive := &http.Transport{
		DialContext:            dial,
		DisableCompression:     true,
		IdleConnTimeout:        30 * time.Second,
		MaxIdleConnsPerHost:    max(1, int(info.Slots)),
		MaxResponseHeaderBytes: maxResponseHeader,
	}
	singleUse := &http.Transport{
		DialContext:            dial,
		DisableCompression:     true,
		DisableKeepAlives:      true,
		MaxResponseHeaderBytes: maxResponseHeader,
	}
	return &connSet{address: info.Address, keepAlive: keepAlive, singleUse: singleUse}
}

// setUserTimeout limits how long sent data may stay unacknowledged.
func setUserTimeout(raw syscall.RawConn, limit time.Duration) error {
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}

// transport returns the transport for a request, the one with single-use
// connections if newConn is true.
func (s *connSet) transport(newConn bool) http.RoundTripper {
	if newConn {
		return http1.Transport{RoundTripper: s.singleUse}
	}
	return http1.Transport{RoundTripper: s.keepAlive}
}

// retire closes idle connections now and those in use when their requests end.
func (s *connSet) retire() {
	s.retired.Store(true)
	s.keepAlive.CloseIdleConnections()
}
