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

// siteSecret is the secret of peers and siteToken the token of operators of a site.
// They need not be confidential, since a site listens on loopback only.
const (
	siteSecret = "loopback-peers-only"
	siteToken  = "loopback-operators-only"
)

// A siteConfig configures a site.
type siteConfig struct {
	Shape standin.Shape
	// EntryCount is the number of entry instances.
	EntryCount int
	// MeanServiceTime is the mean service time of the upstreams. If it is negative,
	// there is none, and requests set their own time with the path /run/{micros}.
	MeanServiceTime time.Duration
	// QueueCapacity is the maximum number of requests that wait at an endpoint. The
	// endpoint sheds further requests.
	QueueCapacity int
	// IgnoreRetryDelay makes clients retry immediately after a refusal.
	IgnoreRetryDelay bool
	// SimulateLatency gives the links the latencies of the shape.
	SimulateLatency bool
	// ShutdownDelay is how long a leaving entry still accepts requests; 0 means the
	// lifetime of lookups.
	ShutdownDelay time.Duration
}

// A site is a complete system in one process on loopback: a stand-in of the platform,
// stand-ins of the upstreams, and entries.
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

// newSite starts a site, waits until its entries are ready and applies a record for
// each service. The site continues to run when ctx ends, until Close.
func newSite(ctx context.Context, config siteConfig) (*site, error) {
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	s := &site{config: config, links: standin.NewLinks(config.Shape), probe: newSiteProbe(config.Shape), cancel: cancel}
	if err := s.start(runCtx); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// start starts the platform, the upstreams and the entries, in this order.
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

// startPlatform starts the stand-in of the platform.
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
	runCtx, cancel := context.WithCancel(ctx)
	standinUpstream := standin.NewUpstream(standin.UpstreamConfig{
		ConnectCost:     s.config.Shape.ConnectCost,
		MaxConnections:  endpoint.MaxConnections,
		ID:              endpoint.ID,
		MeanServiceTime: s.config.MeanServiceTime,
		Observe:         s.probe.observer(endpoint),
		QueueCapacity:   s.config.QueueCapacity,
		Service:         endpoint.Service,
		Slots:           endpoint.Slots,
	})
	started := &siteUpstream{
		Upstream: standinUpstream,
		endpoint: endpoint,
		client:   store.NewClient(store.ClientConfig{Address: s.platformAddress}),
		cancel:   cancel,
		serveErr: standinUpstream.Serve(runCtx, listener),
	}
	s.upstreams = append(s.upstreams, started)
	return started.client.RegisterEndpoint(ctx, endpoint)
}

// waitUntilReady waits for at most 20 s until isReady returns true.
func (s *site) waitUntilReady(ctx context.Context) error {
	waitCtx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	for {
		if s.isReady() {
			return nil
		}
		select {
		case <-waitCtx.Done():
			return savorystep.NewError(savorystep.KindNotReady, "not all of %d entries are ready after 20 s", len(s.entries))
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// isReady reports whether every entry has a list of members with all entries ready,
// and the endpoints of all services.
func (s *site) isReady() bool {
	for _, e := range s.entries {
		readyCount := 0
		for _, member := range e.exchange.Members(time.Now()) {
			if member.Ready {
				readyCount++
			}
		}
		if readyCount < len(s.entries) || !s.hasAllEndpoints(e) {
			return false
		}
	}
	return true
}

// hasAllEndpoints reports whether an entry has all endpoints of all services in its
// pool.
func (s *site) hasAllEndpoints(e *siteEntry) bool {
	for _, service := range s.config.Shape.Services {
		endpointCount := 0
		for _, load := range e.pool.RegionLoads(service.Service, time.Now()) {
			endpointCount += load.UsableEndpoints
		}
		if endpointCount < service.Endpoints {
			return false
		}
	}
	return true
}

// applyRecords applies a record for each service and waits until all are in force at
// all entries.
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

// waitForRevision waits for at most 10 s until a revision is in force at all entries.
func (s *site) waitForRevision(ctx context.Context, client *operator.Client, revision savorystep.Revision) error {
	progress, err := client.WaitForRevision(ctx, revision, 10*time.Second)
	if err != nil {
		return err
	}
	if !progress.Done {
		return savorystep.NewError(savorystep.KindNotReady, "revision %d is in force on %d of %d instances after 10 s", revision, progress.InForceCount(), len(progress.Members))
	}
	return nil
}

// newOperatorClient returns an operator client with all entries as servers.
func (s *site) newOperatorClient() *operator.Client {
	servers := make([]string, 0, len(s.entries))
	for _, e := range s.entries {
		servers = append(servers, string(e.self.OperatorAddress))
	}
	return operator.NewClient(operator.ClientConfig{Servers: servers, Token: siteToken})
}

// newClient returns a client that calls from a region. Clients with different numbers
// have IP addresses in different blocks, and begin with different entries.
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

// Close stops the entries gracefully, and then the upstreams and the platform.
func (s *site) Close() {
	var wg sync.WaitGroup
	for _, e := range s.entries {
		wg.Go(func() { _ = e.Stop() })
	}
	wg.Wait()
	for _, u := range s.upstreams {
		u.client.Close()
		u.cancel()
	}
	s.cancel()
	for _, serverErr := range s.serverErrs {
		if err := <-serverErr; err != nil && !errors.Is(err, context.Canceled) {
			serveLogger.Warningf("stand-in ended with an error: %v", err)
		}
	}
}
