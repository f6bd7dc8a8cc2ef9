package cmd

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"savorystep"
	"savorystep/entry"
	"savorystep/operator"
	"savorystep/standin"
	"savorystep/store"
)

// siteSecret and siteToken are the secrets of a site on loopback.
const (
	siteSecret = "loopback-peers-only"
	siteToken  = "loopback-operators-only"
)

// A siteConfig configures a site.
type siteConfig struct {
	Shape standin.Shape
	// EntryCount is how many entry instances run.
	EntryCount int
	// MeanServiceTime is the mean service time of the upstreams; negative for none, so
	// that requests name their own time.
	MeanServiceTime time.Duration
	// QueueLength is how many requests wait at an endpoint before it sheds.
	QueueLength int
	// IgnoreRetryDelay makes clients send again at once after a refusal.
	IgnoreRetryDelay bool
	// SimulateLatency is true if links have the latencies of the shape.
	SimulateLatency bool
	// ShutdownDelay is how long a leaving entry still takes requests; 0 means the
	// lifetime of lookups.
	ShutdownDelay time.Duration
}

// A site is a whole system in one process on loopback: a platform, upstreams
// and entries.
type site struct {
	config          siteConfig
	links           *standin.Links
	platform        *standin.Platform
	probe           *siteProbe
	platformAddress savorystep.Address
	entries         []*siteEntry
	upstreams       []*siteUpstream
	serverErrs      []<-chan error
	cancel          context.CancelFunc
}

// A siteUpstream is an endpoint of a site.
type siteUpstream struct {
	*standin.Upstream
	endpoint savorystep.Endpoint
	client   *store.Client
	cancel   context.CancelFunc
	serveErr <-chan error
}

// newSite starts a site and applies a record for each service.
func newSite(ctx context.Context, config siteConfig) (*site, error) {
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	s := &site{config: config, links: standin.NewLinks(config.Shape), probe: newSiteProbe(config.Shape), cancel: stop}
	if err := s.start(running); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// start starts the parts of the site one after the other.
func (s *site) start(ctx context.Context) error {
	if err := s.startPlatform(ctx); err != nil {
		return err
	}
	for _, service := range s.config.Shape.Services {
		for _, endpoint := range s.config.Shape.Endpoints(service) {
			if err := s.startUpstream(ctx, endpoint); err != nil {
				return err
			}
		}
	}
	places := s.config.Shape.Places()
	for i := range s.config.EntryCount {
		if _, err := s.startEntry(ctx, places[i%len(places)]); err != nil {
			return err
		}
	}
	if err := s.waitUntilReady(ctx); err != nil {
		return err
	}
	return s.applyRecords(ctx)
}

// startPlatform starts the platform's stand-in.
func (s *site) startPlatform(ctx context.Context) error {
	listener, err := listen(ctx, "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.platformAddress = savorystep.Address(listener.Addr().String())
	s.platform = standin.NewPlatform(standin.PlatformConfig{})
	s.serverErrs = append(s.serverErrs, s.platform.Serve(ctx, listener))
	return nil
}

// startUpstream starts one endpoint and registers it.
func (s *site) startUpstream(ctx context.Context, endpoint savorystep.Endpoint) error {
	listener, err := listen(ctx, "127.0.0.1:0")
	if err != nil {
		return err
	}
	endpoint.Address = savorystep.Address(listener.Addr().String())
	s.links.SetPlace(endpoint.Address, endpoint.Place)
	running, stop := context.WithCancel(ctx)
	served := standin.NewUpstream(standin.UpstreamConfig{
		ConnectCost:     s.config.Shape.ConnectCost,
		MaxConnections:  endpoint.MaxConnections,
		ID:              endpoint.ID,
		MeanServiceTime: s.config.MeanServiceTime,
		Observe:         s.probe.observer(endpoint),
		QueueCapacity:   s.config.QueueLength,
		Service:         endpoint.Service,
		Slots:           endpoint.Slots,
	})
	u := &siteUpstream{
		Upstream: served,
		endpoint: endpoint,
		client:   store.NewClient(store.ClientConfig{Address: s.platformAddress}),
		cancel:   stop,
		serveErr: served.Serve(running, listener),
	}
	s.upstreams = append(s.upstreams, u)
	return u.client.RegisterEndpoint(ctx, endpoint)
}

// waitUntilReady waits until every entry is ready and sees all others.
func (s *site) waitUntilReady(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	for {
		if s.isReady() {
			return nil
		}
		select {
		case <-limited.Done():
			return savorystep.NewError(savorystep.KindNotReady, "the entries are not ready after 20 s")
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// isReady reports whether every entry is ready and sees all others and the
// endpoints.
func (s *site) isReady() bool {
	for _, e := range s.entries {
		ready := 0
		for _, member := range e.exchange.Members(time.Now()) {
			if member.Ready {
				ready++
			}
		}
		if ready < len(s.entries) || !s.hasAllEndpoints(e) {
			return false
		}
	}
	return true
}

// hasAllEndpoints reports whether an entry knows endpoints of all services.
func (s *site) hasAllEndpoints(e *siteEntry) bool {
	for _, service := range s.config.Shape.Services {
		known := 0
		for _, load := range e.pool.RegionLoads(service.Service, time.Now()) {
			known += load.UsableEndpoints
		}
		if known < service.Endpoints {
			return false
		}
	}
	return true
}

// applyRecords applies a record for each service and waits until all are in
// force everywhere.
func (s *site) applyRecords(ctx context.Context) error {
	client := s.newOperatorClient()
	var revision savorystep.Revision
	for _, service := range s.config.Shape.Services {
		record := s.config.Shape.Record(service)
		outcome, err := client.Apply(ctx, operator.ApplyRequest{
			ChangeInfo: operator.ChangeInfo{ID: operator.NewChangeID(), Author: "site"},
			Record:     &record,
		})
		if err != nil {
			return fmt.Errorf("apply the record of %s: %w", service.Service, err)
		}
		revision = outcome.Revision
	}
	return s.waitForRevision(ctx, client, revision)
}

// waitForRevision waits until a revision is in force at all entries.
func (s *site) waitForRevision(ctx context.Context, client *operator.Client, revision savorystep.Revision) error {
	progress, err := client.WaitForRevision(ctx, revision, 10*time.Second)
	if err != nil {
		return err
	}
	if !progress.Done {
		return savorystep.NewError(savorystep.KindNotReady, "revision %d is in force on %d instances only", revision, progress.InForceCount())
	}
	return nil
}

// newOperatorClient returns an operators' client of all entries.
func (s *site) newOperatorClient() *operator.Client {
	servers := make([]string, 0, len(s.entries))
	for _, e := range s.entries {
		servers = append(servers, string(e.self.OperatorAddress))
	}
	return operator.NewClient(operator.ClientConfig{Servers: servers, Token: siteToken})
}

// newClient returns a newClient in a region. Clients with different numbers are in
// different blocks.
func (s *site) newClient(region savorystep.Region, number int) *entry.Client {
	seeds := make([]savorystep.Address, 0, len(s.entries))
	for i := range s.entries {
		seeds = append(seeds, s.entries[(i+number)%len(s.entries)].self.CallerAddress)
	}
	config := entry.ClientConfig{
		Clock:  savorystep.SystemClock{},
		Origin: siteClientAddress(s.config.Shape, region, number).String(),

		IgnoreRetryDelay: s.config.IgnoreRetryDelay,
		SeedAddresses:    seeds,
	}
	if s.config.SimulateLatency {
		config.Dial = s.links.ClientDial(region)
	}
	return entry.NewClient(config)
}

// Close stops all parts of the site.
func (s *site) Close() {
	var stopping sync.WaitGroup
	for _, e := range s.entries {
		stopping.Go(func() { _ = e.Stop() })
	}
	stopping.Wait()
	for _, u := range s.upstreams {
		u.client.Close()
		u.cancel()
	}
	s.cancel()
	for _, ended := range s.serverErrs {
		if err := <-ended; err != nil && !errors.Is(err, context.Canceled) {
			serveLogger.Warningf("A stand-in ended with an error: %v.", err)
		}
	}
}
