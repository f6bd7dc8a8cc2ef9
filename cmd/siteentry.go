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
	conns    *connTracker
	cancel   context.CancelFunc
	runErr   chan error
	stopOnce sync.Once
	stopErr  error
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
	config := instanceConfig{Clock: savorystep.SystemClock{}, Listeners: opened, Settings: s.settings(place, opened), ShutdownDelay: s.config.ShutdownDelay}
	s.links.SetPlace(config.Settings.Instance.CallerAddress, place)
	s.links.SetPlace(config.Settings.Instance.PeerAddress, place)
	conns := newConnTracker()
	config.Listeners = conns.trackListeners(opened)
	config.DialPeer = conns.trackDial(s.peerDialFunc(place))
	config.WrapUpstreamConn = conns.trackWrap(s.upstreamConnWrapper(place))
	built, err := buildInstance(config)
	if err != nil {
		return nil, err
	}
	running, stop := context.WithCancel(ctx)
	started := &siteEntry{instance: built, conns: conns, cancel: stop, runErr: make(chan error, 1)}
	go func() { started.runErr <- built.Run(running) }()
	s.entries = append(s.entries, started)
	return started, nil
}

// peerDialFunc returns the peerDialFunc function of an entry towards peers.
func (s *site) peerDialFunc(place savorystep.Place) standin.DialFunc {
	if s.config.SimulateLatency {
		return s.links.Dial(place)
	}
	var dialer net.Dialer
	return dialer.DialContext
}

// upstreamConnWrapper returns the upstreamConnWrapper function of an entry's connections to upstreams.
func (s *site) upstreamConnWrapper(place savorystep.Place) func(made net.Conn, address string) net.Conn {
	if s.config.SimulateLatency {
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
		Platform: operator.PlatformSettings{Address: s.platformAddress, CallTimeout: time.Second},
	}
}

// Stop stops the entry gracefully and waits for its end.
func (e *siteEntry) Stop() error {
	e.stopOnce.Do(func() {
		e.cancel()
		e.stopErr = <-e.runErr
	})
	return e.stopErr
}

// Kill breaks all connections of the entry and lets it open no more, as the
// death of its process would.
func (e *siteEntry) Kill() {
	e.conns.closeAll()
}
