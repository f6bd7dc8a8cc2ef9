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

// readBuffer holds most answers.
const readBuffer = 4 << 10

// A target is one start of an endpoint. Connections to an earlier start are
// not used for a later one.
type target struct {
	id      savorystep.EndpointID
	address savorystep.Address
	born    int64
}

// A Pool keeps idle connections to endpoints. It is safe for concurrent use.
type Pool struct {
	config Config
	dialer net.Dialer

	mu     sync.Mutex
	idle   map[target][]*conn
	opened uint64
}

// NewPool returns a pool without connections.
func NewPool(config Config) *Pool {
	config = config.withDefaults()
	p := &Pool{config: config, idle: make(map[target][]*conn)}
	p.dialer = net.Dialer{
		Timeout: config.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: time.Second, Interval: time.Second, Count: 2,
		},
		Control: p.control,
	}
	return p
}

// control bounds the time that sent bytes stay without acknowledgement.
func (p *Pool) control(_, _ string, raw syscall.RawConn) error {
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(p.config.TCPUserTimeout.Milliseconds())) //nolint:gosec // Descriptors are small.
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}

// Exchange sends a request to an endpoint and returns the whole answer. An
// error is a *ExchangeError.
func (p *Pool) Exchange(ctx context.Context, endpoint savorystep.Endpoint, request *Request) (*Response, error) {
	key := target{id: endpoint.ID, address: endpoint.Address, born: endpoint.StartedAtMillis}
	c := p.take(key, time.Now())
	if c == nil {
		var err error
		if c, err = p.dial(ctx, key.address); err != nil {
			return nil, &ExchangeError{Stage: StageDial, NewConnection: true, Cause: err}
		}
	}
	response, keep, err := c.exchange(ctx, request, &p.config)
	if err != nil {
		c.reset()
		return nil, err
	}
	if !keep {
		_ = c.Close()
		return response, nil
	}
	p.put(key, c, time.Now())
	return response, nil
}

// dial opens a connection.
func (p *Pool) dial(ctx context.Context, address savorystep.Address) (*conn, error) {
	opened, err := p.dialer.DialContext(ctx, "tcp", string(address))
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	return newConn(opened), nil
}

// take returns the connection that was used last, or nil. It closes those that
// ended or were idle for too long.
func (p *Pool) take(key target, now time.Time) *conn {
	for {
		c := p.pop(key)
		if c == nil {
			return nil
		}
		if now.Sub(c.idleSince) < c.keep && c.isSilent() {
			return c
		}
		_ = c.Close()
	}
}

func (p *Pool) pop(key target) *conn {
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

// put keeps a connection for the next request.
func (p *Pool) put(key target, c *conn, now time.Time) {
	c.idleSince = now
	if c.keep <= 0 {
		c.keep = p.config.IdleTimeout
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[key] = append(p.idle[key], c)
}

// CloseExpired closes connections that were idle for too long.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	var old []*conn
	for key, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.idleSince) < c.keep {
				kept = append(kept, c)
			} else {
				old = append(old, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, key)
		} else {
			p.idle[key] = kept
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		_ = c.Close()
	}
}

// OpenedConnections returns how many connections were opened.
func (p *Pool) OpenedConnections() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}
