package standin

import (
	"context"
	"net"
	"sync"
	"time"

	"savorystep"
)

// Links adds latencies to connections by the places of their ends.
type Links struct {
	shape Shape

	mu     sync.RWMutex
	places map[string]savorystep.Place
}

// NewLinks returns the links of a site.
func NewLinks(shape Shape) *Links {
	return &Links{shape: shape, places: make(map[string]savorystep.Place)}
}

// SetPlace says where an address is.
func (l *Links) SetPlace(address savorystep.Address, place savorystep.Place) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.places[string(address)] = place
}

// Latency returns the one-way latency between two places.
func (l *Links) Latency(from, to savorystep.Place) time.Duration {
	switch {
	case from.Region != to.Region:
		return l.shape.RegionLatency
	case from.Zone != to.Zone:
		return l.shape.ZoneLatency
	default:
		return 0
	}
}

// ClientDial returns a dial function for clients in a region.
func (l *Links) ClientDial(region savorystep.Region) DialFunc {
	return l.dial(func(to savorystep.Place) time.Duration {
		if to.Region != region {
			return l.shape.ClientLatency + l.shape.RegionLatency
		}
		return l.shape.ClientLatency
	})
}

// Dial returns a dial function for instances at a place.
func (l *Links) Dial(from savorystep.Place) DialFunc {
	return l.dial(func(to savorystep.Place) time.Duration { return l.Latency(from, to) })
}

// Wrap returns a function that adds the latency between a place and that of the
// address to a connection.
func (l *Links) Wrap(from savorystep.Place) func(made net.Conn, address string) net.Conn {
	return func(made net.Conn, address string) net.Conn {
		l.mu.RLock()
		place, ok := l.places[address]
		l.mu.RUnlock()
		if !ok || l.Latency(from, place) <= 0 {
			return made
		}
		return NewDelayedConn(made, l.Latency(from, place))
	}
}

// A DialFunc opens connections.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// dial returns a dial function that adds the latency to the address's place.
func (l *Links) dial(latency func(to savorystep.Place) time.Duration) DialFunc {
	var dialer net.Dialer
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		l.mu.RLock()
		place, ok := l.places[address]
		l.mu.RUnlock()
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil || !ok {
			return conn, err
		}
		added := latency(place)
		if added <= 0 {
			return conn, nil
		}
		return NewDelayedConn(conn, added), nil
	}
}
