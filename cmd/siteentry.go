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
	tracker  *connTracker
	cancel   context.CancelFunc
	runErr   chan error
	stopOnce sync.Once
	stopErr  error
}

// startEntry starts an entry instance at a place and adds it to the entries.
func (s *site) startEntry(ctx context.Context, place savorystep.Place) (*siteEntry, error) {
	var opened listeners
	for _, field := range []*net.Listener{&opened.Caller, &opened.Operator, &opened.Peer} {
		listener, err := listen(ctx, "127.0.0.1:0")
		if err != nil {
			opened.close()
			return nil, err
		}
		*field = listener
	}
	config := instanceConfig{Clock: savorystep.SystemClock{}, Listeners: opened, Settings: s.settings(place, opened), ShutdownDelay: s.config.ShutdownDelay}
	s.links.SetPlace(config.Settings.Instance.CallerAddress, place)
	s.links.SetPlace(config.Settings.Instance.PeerAddress, place)
	tracker := newConnTracker()
	config.Listeners = tracker.trackListeners(opened)
	config.DialPeer = tracker.trackDial(s.peerDialFunc(place))
	config.WrapUpstreamConn = tracker.trackWrap(s.upstreamConnWrapper(place))
	inst, err := buildInstance(config)
	if err != nil {
		return nil, err
	}
	runCtx, cancel := context.WithCancel(ctx)
	e := &siteEntry{instance: inst, tracker: tracker, cancel: cancel, runErr: make(chan error, 1)}
	go func() { e.runErr <- inst.Run(runCtx) }()
	s.entries = append(s.entries, e)
	return e, nil
}

// peerDialFunc returns the function with which an entry dials peers.
func (s *site) peerDialFunc(place savorystep.Place) standin.DialFunc {
	if s.config.SimulateLatency {
		return s.links.Dial(place)
	}
	var dialer net.Dialer
	return dialer.DialContext
}

// upstreamConnWrapper returns the function with which an entry wraps its connections
// to upstreams.
func (s *site) upstreamConnWrapper(place savorystep.Place) func(conn net.Conn, address string) net.Conn {
	if s.config.SimulateLatency {
		return s.links.Wrap(place)
	}
	return func(conn net.Conn, _ string) net.Conn { return conn }
}

// settings returns the settings of an entry, with the entries that run already as
// seeds.
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

// Stop stops the entry gracefully, waits until it has ended and returns its error.
// Further calls return the same error.
func (e *siteEntry) Stop() error {
	e.stopOnce.Do(func() {
		e.cancel()
		e.stopErr = <-e.runErr
	})
	return e.stopErr
}

// Kill closes all connections and listeners of the entry and lets it open no more
// connections, as if its process had died. The entry itself continues to run.
func (e *siteEntry) Kill() {
	e.tracker.closeAll()
}
