package cmd

import (
	"context"
	"net"
	"sync"
	"time"

	"savorystep"
	"savorystep/operator"
	"savorystep/standin"
)

// A siteEntry is an entry instance of a site.
type siteEntry struct {
	*instance
	conns *siteConns
	stop  context.CancelFunc
	ended chan error
	once  sync.Once
	err   error
}

// startEntry starts one entry instance.
func (s *site) startEntry(ctx context.Context, place savorystep.Place) (*siteEntry, error) {
	var opened listeners
	for _, to := range []*net.Listener{&opened.Caller, &opened.Operator, &opened.Peer} {
		listener, err := listen(ctx, "127.0.0.1:0")
		if err != nil {
			opened.close()
			return nil, err
		}
		*to = listener
	}
	config := instanceConfig{Clock: savorystep.SystemClock{}, Listeners: opened, Settings: s.settings(place, opened), Linger: s.config.Linger}
	s.links.SetPlace(config.Settings.Instance.CallerAddress, place)
	s.links.SetPlace(config.Settings.Instance.PeerAddress, place)
	conns := newSiteConns()
	config.Listeners = conns.listeners(opened)
	config.Dial = conns.dial(s.dial(place))
	config.Wrap = conns.wrap(s.wrap(place))
	built, err := buildInstance(config)
	if err != nil {
		return nil, err
	}
	running, stop := context.WithCancel(ctx)
	started := &siteEntry{instance: built, conns: conns, stop: stop, ended: make(chan error, 1)}
	go func() { started.ended <- built.Run(running) }()
	s.entries = append(s.entries, started)
	return started, nil
}

// dial returns the dial function of an entry towards peers.
func (s *site) dial(place savorystep.Place) standin.DialFunc {
	if s.config.Latency {
		return s.links.Dial(place)
	}
	var dialer net.Dialer
	return dialer.DialContext
}

// wrap returns the wrap function of an entry's connections to upstreams.
func (s *site) wrap(place savorystep.Place) func(made net.Conn, address string) net.Conn {
	if s.config.Latency {
		return s.links.Wrap(place)
	}
	return func(made net.Conn, _ string) net.Conn { return made }
}

// settings returns the settings of an entry.
func (s *site) settings(place savorystep.Place, opened listeners) *operator.Settings {
	seeds := make([]savorystep.Address, 0, len(s.entries))
	for _, e := range s.entries {
		seeds = append(seeds, e.self.PeerAddress)
	}
	return &operator.Settings{
		Blocks: siteBlocks(s.config.Shape),
		Instance: operator.InstanceSettings{
			CallerAddress:   savorystep.Address(opened.Caller.Addr().String()),
			OperatorAddress: savorystep.Address(opened.Operator.Addr().String()),
			PeerAddress:     savorystep.Address(opened.Peer.Addr().String()),
			Region:          place.Region,
			Zone:            place.Zone,
		},
		Limits: operator.LimitSettings{
			MaxBodyBytes:        1 << 30,
			MaxConnections:      20000,
			DrainTimeout:        time.Minute,
			MaxHeaderBytes:      16 << 10,
			MaxLookupsPerSecond: 20000,
		},
		Operator: operator.AuthSettings{Token: siteToken},
		Peer:     operator.PeerSettings{MaxBytesPerSecond: 50_000, Secret: siteSecret, Seeds: seeds},
		Platform: operator.PlatformSettings{Address: s.address, CallTimeout: time.Second},
	}
}

// Stop stops the entry gracefully and waits for its end.
func (e *siteEntry) Stop() error {
	e.once.Do(func() {
		e.stop()
		e.err = <-e.ended
	})
	return e.err
}

// Kill breaks all connections of the entry and lets it open no more, as the
// death of its process would.
func (e *siteEntry) Kill() {
	e.conns.kill()
}
