package http1

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"savorystep"
)

// readBufferBytes is the size of a connection's read buffer, which holds most
// responses.
const readBufferBytes = 4 << 10

// A poolKey identifies one incarnation of an endpoint. Connections to an earlier
// incarnation are not used for a later one.
type poolKey struct {
	id              savorystep.EndpointID
	address         savorystep.Address
	startedAtMillis int64
}

// A Pool sends requests to endpoints and keeps idle connections for reuse. It is
// safe for concurrent use.
type Pool struct {
	config Config
	dialer net.Dialer

	mu                sync.Mutex
	idle              map[poolKey][]*conn
	openedConnections uint64
}

// NewPool returns an empty pool. Limits that are zero in config get their
// defaults.
func NewPool(config Config) *Pool {
	config = config.withDefaults()
	p := &Pool{config: config, idle: make(map[poolKey][]*conn)}
	p.dialer = net.Dialer{
		Timeout: config.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: time.Second, Interval: time.Second, Count: 2,
		},
		Control: p.setTCPUserTimeout,
	}
	return p
}

// setTCPUserTimeout sets TCP_USER_TIMEOUT on a socket before it connects.
func (p *Pool) setTCPUserTimeout(_, _ string, raw syscall.RawConn) error {
	return setTCPUserTimeout(raw, p.config.TCPUserTimeout)
}

// setTCPUserTimeout sets TCP_USER_TIMEOUT on a socket.
func setTCPUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds())) //nolint:gosec // Descriptors are small.
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}

// Exchange sends a request to an endpoint and returns the complete response. The
// caller must release the response. Errors are *ExchangeError.
func (p *Pool) Exchange(ctx context.Context, endpoint savorystep.Endpoint, request *Request) (*Response, error) {
	key := poolKey{id: endpoint.ID, address: endpoint.Address, startedAtMillis: endpoint.StartedAtMillis}
	c := p.takeIdle(key, time.Now())
	isNew := c == nil
	if isNew {
		var err error
		if c, err = p.dial(ctx, key.address); err != nil {
			return nil, &ExchangeError{Stage: StageDial, NewConnection: true, Cause: err}
		}
	}
	// After an error or a panic the endpoint must not go on with the request.
	mustReset := true
	defer func() {
		if mustReset {
			c.reset()
		}
	}()
	if isNew {
		if err := request.confirm(); err != nil {
			mustReset = false
			_ = c.Close()
			return nil, &ExchangeError{Stage: StageUnsent, NewConnection: true, Cause: err}
		}
	}
	response, persistent, err := c.exchange(ctx, request, &p.config)
	if err != nil {
		return nil, err
	}
	mustReset = false
	if !persistent {
		_ = c.Close()
		return response, nil
	}
	p.putIdle(key, c, time.Now())
	return response, nil
}

// dial opens a connection.
func (p *Pool) dial(ctx context.Context, address savorystep.Address) (*conn, error) {
	opened, err := p.dialer.DialContext(ctx, "tcp", string(address))
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.openedConnections++
	p.mu.Unlock()
	return newConn(opened), nil
}

// takeIdle removes the most recently used idle connection from the pool and
// returns it, or nil if there is none. It closes connections that have expired,
// were closed by the endpoint or have received unsolicited bytes.
func (p *Pool) takeIdle(key poolKey, now time.Time) *conn {
	for {
		c := p.popIdle(key)
		if c == nil {
			return nil
		}
		if now.Sub(c.idleSince) < c.idleTimeout && c.isUsable() {
			return c
		}
		_ = c.Close()
	}
}

// popIdle removes the most recently used idle connection, usable or not.
func (p *Pool) popIdle(key poolKey) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[key]
	if len(list) == 0 {
		delete(p.idle, key)
		return nil
	}
	c := list[len(list)-1]
	p.idle[key] = list[:len(list)-1]
	return c
}

// putIdle keeps a connection for a later request.
func (p *Pool) putIdle(key poolKey, c *conn, now time.Time) {
	c.idleSince = now
	if c.idleTimeout <= 0 {
		c.idleTimeout = p.config.IdleTimeout
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[key] = append(p.idle[key], c)
}

// CloseExpired closes the connections that have exceeded their idle timeout.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	var expired []*conn
	for key, list := range p.idle {
		remaining := list[:0]
		for _, c := range list {
			if now.Sub(c.idleSince) < c.idleTimeout {
				remaining = append(remaining, c)
			} else {
				expired = append(expired, c)
			}
		}
		if len(remaining) == 0 {
			delete(p.idle, key)
		} else {
			p.idle[key] = remaining
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		_ = c.Close()
	}
}

// OpenedConnections returns how many connections have been opened since the start.
func (p *Pool) OpenedConnections() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openedConnections
}
