package cmd

import (
	"crypto/rand"
	"fmt"
	"net/http"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"go.uber.org/dig"

	"savorystep"
	"savorystep/caller"
	"savorystep/peer"
	"savorystep/store"
	"savorystep/upstream"
)

// newContainer returns a container that makes the parts of an instance.
func newContainer(config instanceConfig) (*dig.Container, error) {
	container := dig.New()
	for _, constructor := range []any{
		func() instanceConfig { return config },
		func() savorystep.Clock { return config.Clock },
		newBudgets,
		newCallerServer,
		newExchange,
		newSubjectGrouper,
		newForwarder,
		newHLC,
		newInstance,
		newIdempotencyStore,
		newEndpointListCache,
		newConfigLog,
		newMetricsRegistry,
		newOperatorHandler,
		newPlatformClient,
		newPool,
		newEventRing,
		newSelf,
		newResolver,
		newUnknownNamePublisher,
	} {
		if err := container.Provide(constructor); err != nil {
			return nil, err
		}
	}
	return container, nil
}

// newSelf describes this instance under an ID of its own.
func newSelf(config instanceConfig) savorystep.Instance {
	settings := config.Settings.Instance
	id := fmt.Sprintf("%s-%s", settings.Zone, strings.ToLower(rand.Text()[:8]))
	return savorystep.Instance{
		ID:              savorystep.InstanceID(id),
		Place:           savorystep.Place{Region: settings.Region, Zone: settings.Zone},
		State:           savorystep.StateLive,
		CallerAddress:   settings.CallerAddress,
		OperatorAddress: settings.OperatorAddress,
		PeerAddress:     settings.PeerAddress,
	}
}

// newMetricsRegistry returns a registry with the metrics of the process.
func newMetricsRegistry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return registry
}

// newHLC returns the clock that stamps events.
func newHLC(clock savorystep.Clock) *peer.HLC {
	return peer.NewHLC(clock)
}

// newEventRing returns the ring of events.
func newEventRing(self savorystep.Instance, hlc *peer.HLC) *peer.EventRing {
	return peer.NewEventRing(peer.EventRingConfig{Self: self.ID, HLC: hlc})
}

// newPlatformClient returns the client of the platform.
func newPlatformClient(config instanceConfig) *store.Client {
	settings := config.Settings.Platform
	return store.NewClient(store.ClientConfig{
		Address: settings.Address,
		Clock:   config.Clock,
		Timeout: settings.CallTimeout,
	})
}

// newExchange returns the exchange of facts with peers.
func newExchange(
	config instanceConfig,
	self savorystep.Instance,
	hlc *peer.HLC,
	ring *peer.EventRing,
	client *store.Client,
	groups *subjectGrouper,
) *peer.Exchange {
	settings := config.Settings.Peer
	return peer.New(peer.Config{
		BytesPerSecond: int(settings.MaxBytesPerSecond),
		Clock:          config.Clock,
		Dial:           config.DialPeer,
		SubjectGroup:   groups.group,
		HLC:            hlc,
		Recorder:       ring,
		Registry:       client,
		Secret:         settings.Secret,
		Seeds:          settings.Seeds,
		Self:           self,
	})
}

// newEndpointListCache returns the platform's lists with those of peers to fall back on.
func newEndpointListCache(config instanceConfig, client *store.Client, exchange *peer.Exchange) *peer.EndpointListCache {
	list := peer.EndpointListCacheConfig{
		Members:  exchange,
		Registry: client,
		Secret:   config.Settings.Peer.Secret,
		Seeds:    config.Settings.Peer.Seeds,
	}
	if config.DialPeer != nil {
		list.Client = &http.Client{Transport: &http.Transport{DialContext: config.DialPeer}}
	}
	return peer.NewEndpointListCache(list)
}

// newConfigLog returns the configuration log.
func newConfigLog(
	config instanceConfig,
	client *store.Client,
	exchange *peer.Exchange,
	ring *peer.EventRing,
) *store.Log {
	log := store.NewLog(store.LogConfig{
		Clock:         config.Clock,
		Facts:         exchange,
		Members:       exchange,
		PeerRevision:  newPeerRevision(exchange),
		Peers:         exchange,
		EventRecorder: ring,
		Table:         client,
	})
	exchange.SetSource(log)
	return log
}

// newBudgets returns the budgets.
func newBudgets(
	config instanceConfig,
	self savorystep.Instance,
	client *store.Client,
	ring *peer.EventRing,
) *store.Budgets {
	return store.NewBudgets(store.BudgetsConfig{
		Clock:             config.Clock,
		GrantLedgerConfig: store.GrantLedgerConfig{Self: self.ID},
		EventRecorder:     ring,
		Registry:          client,
		Table:             client,
		Timeout:           config.Settings.Platform.CallTimeout,
	})
}

// newIdempotencyStore returns the ledger of idempotency keys.
func newIdempotencyStore(config instanceConfig, client *store.Client) *store.IdempotencyStore {
	return store.NewIdempotencyStore(store.IdempotencyStoreConfig{
		Clock:   config.Clock,
		Objects: client.Objects(),
		Table:   client,
	})
}

// newPool returns the pool of upstream endpoints.
func newPool(
	config instanceConfig,
	self savorystep.Instance,
	budgets *store.Budgets,
	exchange *peer.Exchange,
	groups *subjectGrouper,
	lists *peer.EndpointListCache,
	ring *peer.EventRing,
) *upstream.Pool {
	pool := upstream.New(upstream.Config{
		Budgets:  budgets,
		Clock:    config.Clock,
		Facts:    exchange,
		Members:  exchange,
		Recorder: ring,
		Registry: lists,
		Self:     self,
		WrapConn: config.WrapUpstreamConn,
	})
	groups.pool.Store(pool)
	return pool
}

// newForwarder returns the chain of forwarders. The quarantine lies around the
// retries: it is asked before each of them.
func newForwarder(
	config instanceConfig,
	self savorystep.Instance,
	exchange *peer.Exchange,
	keys *store.IdempotencyStore,
	pool *upstream.Pool,
	ring *peer.EventRing,
) *upstream.KeyedForwarder {
	retrier := upstream.NewRetrier(pool, upstream.RetrierConfig{Recorder: ring})
	quarantine := upstream.NewQuarantine(retrier, upstream.QuarantineConfig{
		Clock:    config.Clock,
		Facts:    exchange,
		Recorder: ring,
		Self:     self.ID,
	})
	return upstream.NewKeyedForwarder(quarantine, upstream.KeyedForwarderConfig{Clock: config.Clock, Store: keys})
}

// newResolver returns the lookup decisions.
func newResolver(
	config instanceConfig,
	self savorystep.Instance,
	exchange *peer.Exchange,
	log *store.Log,
	pool *upstream.Pool,
) *caller.Resolver {
	resolver := caller.NewResolver(caller.ResolverConfig{
		Config:    log,
		Endpoints: pool,
		Members:   exchange,
		Self:      self,
		Steer:     upstream.Steer,
	})
	resolver.SetBlocks(caller.NewBlockTable(config.Settings.Blocks))
	return resolver
}

// newUnknownNamePublisher returns the counter of unknown names.
func newUnknownNamePublisher(config instanceConfig, exchange *peer.Exchange) *caller.UnknownNamePublisher {
	return &caller.UnknownNamePublisher{
		Clock:              config.Clock,
		Facts:              exchange,
		UnknownNameCounter: caller.NewUnknownNameCounter(caller.UnknownNameCounterConfig{}),
	}
}

// newCallerServer returns the server of the callers' listener.
func newCallerServer(
	config instanceConfig,
	forwarder *upstream.KeyedForwarder,
	lists *peer.EndpointListCache,
	log *store.Log,
	registry *prometheus.Registry,
	ring *peer.EventRing,
	resolver *caller.Resolver,
	unknown *caller.UnknownNamePublisher,
) *caller.Server {
	limits := config.Settings.Limits
	return caller.NewServer(caller.ServerConfig{
		Clock:     config.Clock,
		Forwarder: forwarder,
		Limits: caller.Limits{
			MaxBodyBytes:        limits.MaxBodyBytes,
			MaxConnections:      limits.MaxConnections,
			DrainTimeout:        limits.DrainTimeout,
			MaxHeaderBytes:      int(limits.MaxHeaderBytes),
			ShutdownDelay:       config.ShutdownDelay,
			MaxLookupsPerSecond: float64(limits.MaxLookupsPerSecond),
		},
		Ready:        func() bool { return readinessError(log, lists) == nil },
		Recorder:     ring,
		Registry:     registry,
		Config:       log,
		Resolver:     resolver,
		UnknownNames: unknown.UnknownNameCounter,
	})
}
