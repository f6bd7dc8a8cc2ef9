package standin

import (
	"context"
	"net"
	"sync"
	"time"

	"savorystep"
)

// Links simulates the latency of connections between the places of a site.
type Links struct {
	shape Shape

	mu sync.RWMutex
	// places maps addresses to the places of their listeners.
	places map[string]savorystep.Place
}

// NewLinks returns the links of a site. Addresses have no latency until SetPlace
// sets their place.
func NewLinks(shape Shape) *Links {
	return &Links{shape: shape, places: make(map[string]savorystep.Place)}
}

// SetPlace sets the place of an address.
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

// ClientDial returns a dial function for callers in a region.
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

// Wrap returns a function that adds the latency from a place to the place of
// address to an open connection. It returns the connection itself if the latency
// is 0.
func (l *Links) Wrap(from savorystep.Place) func(conn net.Conn, address string) net.Conn {
	return func(conn net.Conn, address string) net.Conn {
		l.mu.RLock()
		place, ok := l.places[address]
		l.mu.RUnlock()
		if !ok || l.Latency(from, place) <= 0 {
			return conn
		}
		return NewDelayedConn(conn, l.Latency(from, place))
	}
}

// A DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// dial returns a dial function that adds latency(place) to connections, where
// place is the place of the dialed address.
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
		oneWay := latency(place)
		if oneWay <= 0 {
			return conn, nil
		}
		return NewDelayedConn(conn, oneWay), nil
	}
}
