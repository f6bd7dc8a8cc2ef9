package cmd

import (
	"crypto/rand"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"go.uber.org/dig"

	"savorystep"
	"savorystep/caller"
	"savorystep/peer"
	"savorystep/store"
	"savorystep/upstream"
)

// newContainer returns a dependency injection container with the constructors of
// an instance and its components.
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
		newQuarantine,
		newCrashKeeper,
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

// newSelf returns the description of this instance, with a new random ID.
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

// newMetricsRegistry returns a registry with the Go runtime and process metrics.
func newMetricsRegistry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return registry
}

// newHLC returns the hybrid logical clock that timestamps events.
func newHLC(clock savorystep.Clock) *peer.HLC {
	return peer.NewHLC(clock)
}

// newEventRing returns the ring buffer of the events that this instance records.
func newEventRing(self savorystep.Instance, hlc *peer.HLC) *peer.EventRing {
	return peer.NewEventRing(peer.EventRingConfig{Self: self.ID, HLC: hlc})
}

// newPlatformClient returns the client of the platform's table, objects and
// registry.
func newPlatformClient(config instanceConfig) *store.Client {
	settings := config.Settings.Platform
	return store.NewClient(store.ClientConfig{
		Address: settings.Address,
		Clock:   config.Clock,
		Timeout: settings.CallTimeout,
	})
}

// newExchange returns the gossip exchange of statuses and facts with peers.
func newExchange(
	config instanceConfig,
	self savorystep.Instance,
	hlc *peer.HLC,
	events *peer.EventRing,
	platformClient *store.Client,
	grouper *subjectGrouper,
) *peer.Exchange {
	settings := config.Settings.Peer
	return peer.New(peer.Config{
		BytesPerSecond: int(settings.MaxBytesPerSecond),
		Clock:          config.Clock,
		Dial:           config.DialPeer,
		SubjectGroup:   grouper.group,
		HLC:            hlc,
		Recorder:       events,
		Registry:       platformClient,
		Secret:         settings.Secret,
		Seeds:          settings.Seeds,
		Self:           self,
	})
}

// peerIdleConnTimeout is how long an idle connection to a peer is kept. It is below the
// internalIdleTimeout of the peer.
const peerIdleConnTimeout = 90 * time.Second

// newEndpointListCache returns the cache of the platform's endpoint list, which
// falls back to the lists of peers.
func newEndpointListCache(config instanceConfig, platformClient *store.Client, exchange *peer.Exchange) *peer.EndpointListCache {
	cacheConfig := peer.EndpointListCacheConfig{
		Members:  exchange,
		Registry: platformClient,
		Secret:   config.Settings.Peer.Secret,
		Seeds:    config.Settings.Peer.Seeds,
	}
	if config.DialPeer != nil {
		cacheConfig.Client = &http.Client{Transport: &http.Transport{DialContext: config.DialPeer, IdleConnTimeout: peerIdleConnTimeout}}
	}
	return peer.NewEndpointListCache(cacheConfig)
}

// newConfigLog returns the configuration log and makes it the source of the changes
// that peers request from the exchange.
func newConfigLog(
	config instanceConfig,
	platformClient *store.Client,
	exchange *peer.Exchange,
	events *peer.EventRing,
) *store.Log {
	configLog := store.NewLog(store.LogConfig{
		Clock:         config.Clock,
		Facts:         exchange,
		Members:       exchange,
		PeerRevision:  newPeerRevision(exchange),
		Peers:         exchange,
		EventRecorder: events,
		Table:         platformClient,
	})
	exchange.SetChangeSource(configLog)
	return configLog
}

// newBudgets returns the budgets that share the caps of shifts among instances.
func newBudgets(
	config instanceConfig,
	self savorystep.Instance,
	platformClient *store.Client,
	events *peer.EventRing,
) *store.Budgets {
	return store.NewBudgets(store.BudgetsConfig{
		Clock:             config.Clock,
		GrantLedgerConfig: store.GrantLedgerConfig{Self: self.ID},
		Era:               platformClient.Era,
		EventRecorder:     events,
		Registry:          platformClient,
		Table:             platformClient,
		Timeout:           config.Settings.Platform.CallTimeout,
	})
}

// newIdempotencyStore returns the store of idempotency keys and their responses.
func newIdempotencyStore(config instanceConfig, platformClient *store.Client) *store.IdempotencyStore {
	return store.NewIdempotencyStore(store.IdempotencyStoreConfig{
		Clock:   config.Clock,
		Objects: platformClient.Objects(),
		Table:   platformClient,
	})
}

// newPool returns the pool of upstream endpoints, and sets it in the grouper.
func newPool(
	config instanceConfig,
	self savorystep.Instance,
	budgets *store.Budgets,
	exchange *peer.Exchange,
	grouper *subjectGrouper,
	endpointLists *peer.EndpointListCache,
	events *peer.EventRing,
) *upstream.Pool {
	pool := upstream.New(upstream.Config{
		Budgets:  budgets,
		Clock:    config.Clock,
		Facts:    exchange,
		Members:  exchange,
		Recorder: events,
		Registry: endpointLists,
		Self:     self,
		WrapConn: config.WrapUpstreamConn,
	})
	grouper.pool.Store(pool)
	return pool
}

// newQuarantine returns the quarantine. It wraps the retrier, which runs its check before
// every attempt.
func newQuarantine(
	config instanceConfig,
	self savorystep.Instance,
	exchange *peer.Exchange,
	pool *upstream.Pool,
	events *peer.EventRing,
) *upstream.Quarantine {
	retrier := upstream.NewRetrier(pool, upstream.RetrierConfig{Recorder: events})
	return upstream.NewQuarantine(retrier, upstream.QuarantineConfig{
		Clock:    config.Clock,
		Facts:    exchange,
		Recorder: events,
		Self:     self.ID,
	})
}

// newCrashKeeper returns the keeper that saves the crashes of the quarantine in the
// platform's table.
func newCrashKeeper(config instanceConfig, platformClient *store.Client, quarantine *upstream.Quarantine) *upstream.CrashKeeper {
	return upstream.NewCrashKeeper(upstream.CrashKeeperConfig{
		Clock:      config.Clock,
		CrashLog:   store.NewCrashLog(platformClient),
		Quarantine: quarantine,
		StoreEra: func() savorystep.StoreEra {
			era, _ := platformClient.Era()
			return era
		},
	})
}

// newForwarder returns the chain of forwarders: idempotency keys, quarantine,
// retries, pool.
func newForwarder(
	config instanceConfig,
	idempotencyStore *store.IdempotencyStore,
	quarantine *upstream.Quarantine,
) *upstream.KeyedForwarder {
	return upstream.NewKeyedForwarder(quarantine, upstream.KeyedForwarderConfig{Clock: config.Clock, Store: idempotencyStore})
}

// newResolver returns the resolver that decides lookups.
func newResolver(
	config instanceConfig,
	self savorystep.Instance,
	exchange *peer.Exchange,
	configLog *store.Log,
	pool *upstream.Pool,
) *caller.Resolver {
	resolver := caller.NewResolver(caller.ResolverConfig{
		Config:    configLog,
		Endpoints: pool,
		Members:   exchange,
		Self:      self,
		Steer:     upstream.Steer,
	})
	resolver.SetBlocks(caller.NewBlockTable(config.Settings.Blocks))
	return resolver
}

// newUnknownNamePublisher returns the publisher of the counts of unknown names.
func newUnknownNamePublisher(config instanceConfig, exchange *peer.Exchange) *caller.UnknownNamePublisher {
	return &caller.UnknownNamePublisher{
		Clock:              config.Clock,
		Facts:              exchange,
		UnknownNameCounter: caller.NewUnknownNameCounter(caller.UnknownNameCounterConfig{}),
	}
}

// newCallerServer returns the server that answers callers' lookups and requests.
func newCallerServer(
	config instanceConfig,
	forwarder *upstream.KeyedForwarder,
	endpointLists *peer.EndpointListCache,
	configLog *store.Log,
	registry *prometheus.Registry,
	events *peer.EventRing,
	resolver *caller.Resolver,
	unknownNames *caller.UnknownNamePublisher,
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
		Ready:        func() bool { return readinessError(configLog, endpointLists) == nil },
		Recorder:     events,
		Registry:     registry,
		Config:       configLog,
		Resolver:     resolver,
		UnknownNames: unknownNames.UnknownNameCounter,
	})
}
