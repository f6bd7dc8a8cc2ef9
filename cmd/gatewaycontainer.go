package cmd

import (
	"crypto/rand"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"go.uber.org/dig"

	"savorystep"
	"savorystep/endpoint"
	"savorystep/http1"
	"savorystep/ingress"
	"savorystep/peer"
	"savorystep/platform"
	"savorystep/store"
)

// buildGateway creates a gateway and all its components.
func buildGateway(settings platform.Settings, options gatewayOptions) (*gateway, error) {
	container := dig.New()
	for _, constructor := range []any{
		func() gatewayOptions { return options },
		func() platform.Settings { return settings },
		func() savorystep.Clock { return savorystep.SystemClock{} },
		newGateway,
		newGatewayClient,
		newGatewayCrashLog,
		newGatewayDirectory,
		newGatewayEndings,
		newGatewayExchange,
		newGatewayProxy,
		newGatewayQuarantine,
		newGatewayQuarantineKeeper,
		newGatewayPool,
		newGatewayRegistry,
		newGatewayRelay,
		newGatewaySelf,
		newGatewayRouter,
		newGatewayWarmupChecker,
		newGatewayWatcher,
	} {
		if err := container.Provide(constructor); err != nil {
			return nil, err
		}
	}
	var result *gateway
	err := container.Invoke(func(created *gateway) { result = created })
	return result, err
}

// newGatewaySelf returns the description of this instance. Its ID is the name of
// the node with a random suffix, so a restarted process is another instance.
func newGatewaySelf(settings platform.Settings) savorystep.Instance {
	return savorystep.Instance{
		ID:            savorystep.InstanceID(settings.Node + "-" + rand.Text()[:8]),
		Place:         settings.Place,
		State:         savorystep.StateLive,
		CallerAddress: settings.CallerAddress,
		PeerAddress:   settings.PeerAddress,
	}
}

func newGatewayClient(settings platform.Settings) *platform.Client {
	return platform.NewClient(platform.ClientConfig{Address: settings.StoreAddress})
}

// newGatewayRelay returns the relay through which the instances of a region share
// their reads of the catalog.
func newGatewayRelay(settings platform.Settings, client *platform.Client, clock savorystep.Clock, exchange *peer.Exchange) *peer.CatalogRelay {
	return peer.NewCatalogRelay(peer.CatalogRelayConfig{AgeClock: savorystep.NewBootClock(), Catalog: client, Clock: clock, FirstStart: settings.FirstStart, Members: exchange, Secret: peerSecret(settings)})
}

// peerSecret returns the secret that peers must present. The platform keeps other
// processes away from the peers' listener, so the value need not be confidential:
// the address of the store only prevents peering between two deployments.
func peerSecret(settings platform.Settings) string {
	return "deployment " + string(settings.StoreAddress)
}

func newGatewayRouter(settings platform.Settings, self savorystep.Instance) *ingress.Router {
	router := ingress.NewRouter(endpointConfig(settings, self))
	router.WatchStandstills(savorystep.NewBootClock())
	return router
}

// endpointConfig returns the configuration of the endpoint table, with the limits
// on retries and on requests to cold endpoints.
func endpointConfig(settings platform.Settings, self savorystep.Instance) endpoint.Config {
	return endpoint.Config{
		Self:        self.ID,
		ColdFactor:  settings.Bounds.ColdFactor,
		ColdSlack:   settings.Bounds.ColdSlack,
		RetryRatio:  settings.Bounds.RetryRatio,
		RetrySlack:  settings.Bounds.RetrySlack,
		RetryWindow: settings.Bounds.RetryWindow,
		MayReplace:  !settings.FirstStart,
	}
}

func newGatewayWatcher(settings platform.Settings, relay *peer.CatalogRelay, clock savorystep.Clock, router *ingress.Router) *ingress.Watcher {
	return ingress.NewWatcher(ingress.WatcherConfig{Catalog: relay, Clock: clock, Retained: relay, Router: router, RegionByZone: settings.RegionByZone})
}

func newGatewayExchange(settings platform.Settings, clock savorystep.Clock, self savorystep.Instance) *peer.Exchange {
	return peer.New(peer.Config{Clock: clock, Seeds: settings.Seeds, Secret: peerSecret(settings), Self: self})
}

func newGatewayDirectory(clock savorystep.Clock, exchange *peer.Exchange, registry *prometheus.Registry, router *ingress.Router) *ingress.Directory {
	return ingress.NewDirectory(ingress.DirectoryConfig{Clock: clock, Members: exchange, Registerer: registry, Router: router})
}

// responseMemoryDivisor is the quotient of the memory limit and the memory that all
// buffered responses may use together. Request bodies may use as much again.
const responseMemoryDivisor = 4

func newGatewayPool(settings platform.Settings) *http1.Pool {
	config := http1.Config{HeaderNames: platform.HeaderNames()}
	if size := settings.MemoryLimitBytes / responseMemoryDivisor; size > 0 {
		config.ResponseBudget = http1.NewMemoryBudget(size)
	}
	return http1.NewPool(config)
}

func newGatewayRegistry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return registry
}

func newGatewayCrashLog(client *platform.Client) savorystep.CrashLog {
	return store.NewCrashLog(client)
}

func newGatewayQuarantine(crashLog savorystep.CrashLog, exchange *peer.Exchange) *ingress.Quarantine {
	return ingress.NewQuarantine(exchange, crashLog)
}

func newGatewayQuarantineKeeper(settings platform.Settings, client *platform.Client, crashLog savorystep.CrashLog, clock savorystep.Clock, quarantine *ingress.Quarantine) *ingress.QuarantineKeeper {
	return ingress.NewQuarantineKeeper(ingress.QuarantineKeeperConfig{Clock: clock, CrashLog: crashLog, Quarantine: quarantine, StoreEra: client.Era, FirstStart: settings.FirstStart})
}

func newGatewayEndings(exchange *peer.Exchange, router *ingress.Router) *ingress.Endings {
	return ingress.NewEndings(exchange, router)
}

func newGatewayWarmupChecker(clock savorystep.Clock, endings *ingress.Endings, pool *http1.Pool, router *ingress.Router) *ingress.WarmupChecker {
	return ingress.NewWarmupChecker(ingress.WarmupCheckerConfig{Clock: clock, Endings: endings, HeaderNames: platform.HeaderNames(), Router: router, Transport: pool})
}

func newGatewayProxy(settings platform.Settings, clock savorystep.Clock, endings *ingress.Endings, exchange *peer.Exchange, pool *http1.Pool, quarantine *ingress.Quarantine, registry *prometheus.Registry, router *ingress.Router, warmups *ingress.WarmupChecker) *ingress.Proxy {
	return ingress.NewProxy(ingress.ProxyConfig{
		Clock: clock, MemoryLimitBytes: settings.MemoryLimitBytes, HeaderNames: platform.HeaderNames(), Endings: endings, Leavings: ingress.NewLeavings(exchange, router), Notices: platform.NoticeDecoder{}, Place: settings.Place, Quarantine: quarantine, RateLimits: ingress.NewRateLimits(exchange, router), Registerer: registry, Transport: pool, Router: router, WarmupChecker: warmups,
	})
}
