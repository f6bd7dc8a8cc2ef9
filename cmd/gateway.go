package cmd

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"savorystep"
	"savorystep/http1"
	"savorystep/ingress"
	"savorystep/peer"
	"savorystep/platform"
	"savorystep/stdout"
)

const (
	// gatewayMaintenanceInterval is the interval at which the gateway publishes its
	// status, reads the members and closes expired connections.
	gatewayMaintenanceInterval = 250 * time.Millisecond
	// graceMargin is the part of the grace period that remains for the rest of the
	// shutdown after the last request is finished or aborted.
	graceMargin = 500 * time.Millisecond
	// internalShutdownTimeout is the part of graceMargin that is left to requests in
	// flight of peers, lookups, metrics and readiness checks, which take milliseconds.
	internalShutdownTimeout = 300 * time.Millisecond
	// defaultGracePeriod applies if the settings have no grace period.
	defaultGracePeriod = 6 * time.Second
)

// gatewayLogger logs the lifecycle of the gateway and changes of its settings.
const gatewayLogger = savorystep.Logger("gateway")

// A gateway is one entry instance on the users' platform.
type gateway struct {
	settings     platform.Settings
	self         savorystep.Instance
	client       *platform.Client
	directory    *ingress.Directory
	exchange     *peer.Exchange
	proxy        *ingress.Proxy
	pool         *http1.Pool
	catalogRelay *peer.CatalogRelay
	quarantine   *ingress.Quarantine
	keeper       *ingress.QuarantineKeeper
	router       *ingress.Router
	warmups      *ingress.WarmupChecker
	watcher      *ingress.Watcher
	clock        savorystep.Clock
	logWriter    *stdout.Writer
	options      gatewayOptions
	registry     *prometheus.Registry

	isLeaving atomic.Bool
}

// newGateway assembles a gateway from its components and registers its metrics.
func newGateway(
	settings platform.Settings,
	self savorystep.Instance,
	client *platform.Client,
	directory *ingress.Directory,
	exchange *peer.Exchange,
	proxy *ingress.Proxy,
	pool *http1.Pool,
	catalogRelay *peer.CatalogRelay,
	quarantine *ingress.Quarantine,
	keeper *ingress.QuarantineKeeper,
	router *ingress.Router,
	warmups *ingress.WarmupChecker,
	watcher *ingress.Watcher,
	clock savorystep.Clock,
	options gatewayOptions,
	registry *prometheus.Registry,
) *gateway {
	g := &gateway{
		settings: settings, self: self, client: client, directory: directory, exchange: exchange,
		proxy: proxy, pool: pool, catalogRelay: catalogRelay, quarantine: quarantine, keeper: keeper,
		router: router, warmups: warmups, watcher: watcher,
		clock: clock, logWriter: stdout.New(os.Stdout), options: options, registry: registry,
	}
	g.registerMetrics()
	return g
}

// Run serves until ctx ends, then shuts down gracefully within the grace period. It reads
// the settings again when hangups receives a signal.
func (g *gateway) Run(ctx context.Context, hangups <-chan os.Signal) error {
	backgroundCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var group errgroup.Group
	stopLogWriter := g.startLogWriter()
	defer stopLogWriter()
	for _, runner := range []savorystep.Runner{g.exchange, g.watcher, g.keeper, g.warmups} {
		done := runner.Start(backgroundCtx)
		group.Go(func() error { return ignoreCanceled(<-done) })
	}
	group.Go(func() error { g.runMaintenance(backgroundCtx); return nil })
	group.Go(func() error { g.watchSettings(backgroundCtx, hangups); return nil })
	internalServers, err := g.serveInternal(backgroundCtx)
	if err != nil {
		return err
	}
	listener, err := g.listen(ctx, g.settings.CallerAddress)
	if err != nil {
		return err
	}
	server := ingress.NewServer(g.proxy, listener)
	callersDone := server.Serve()
	gatewayLogger.Infof("instance %s in zone %s serves callers on %s", g.self.ID, g.self.Place.Zone, g.self.CallerAddress)
	select {
	case err = <-callersDone:
	case <-ctx.Done():
		gatewayLogger.Infof("instance %s is shutting down", g.self.ID)
		g.isLeaving.Store(true)
		g.publishStatus()
		server.Shutdown(backgroundCtx, g.gracePeriod()-graceMargin)
		err = <-callersDone
	}
	cancel()
	shutdownServers(internalServers, internalShutdownTimeout)
	err = errors.Join(err, group.Wait())
	g.client.Close()
	gatewayLogger.Infof("instance %s stopped", g.self.ID)
	return err
}

// startLogWriter directs klog to standard output, through a writer that drops
// lines instead of blocking. The returned function flushes the log and stops the
// writer.
func (g *gateway) startLogWriter() func() {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{"logtostderr": "false", "stderrthreshold": "FATAL", "one_output": "true"} {
		if err := flags.Set(name, value); err != nil {
			gatewayLogger.Errorf("set log flag %s: %v", name, err)
		}
	}
	klog.SetOutput(g.logWriter)
	ctx, cancel := context.WithCancel(context.Background())
	done := g.logWriter.Start(ctx)
	return func() {
		klog.Flush()
		cancel()
		if err := <-done; err != nil {
			_, _ = fmt.Fprintf(os.Stderr, "write log to standard output: %v\n", err)
		}
	}
}

// metricsAddress returns the address of the metrics listener, empty if there is
// none.
func (g *gateway) metricsAddress() savorystep.Address {
	if g.options.MetricsPort == 0 || g.settings.IP == "" {
		return ""
	}
	return savorystep.Address(net.JoinHostPort(g.settings.IP, strconv.Itoa(g.options.MetricsPort)))
}

// gracePeriod returns the time that the platform leaves between SIGTERM and SIGKILL.
func (g *gateway) gracePeriod() time.Duration {
	if g.settings.Bounds.TerminationGrace > 0 {
		return g.settings.Bounds.TerminationGrace
	}
	return defaultGracePeriod
}

// serveInternal starts the servers for peers, lookups, metrics and the platform's
// readiness check, without those that have no address.
func (g *gateway) serveInternal(ctx context.Context) ([]*http1.Server, error) {
	peerMux := http.NewServeMux()
	peerMux.Handle(peer.WebSocketPath, g.exchange.Handler())
	peerMux.Handle(peer.StatusesPath, g.exchange.Handler())
	peerMux.Handle("/catalog/", g.catalogRelay.Handler())
	peerMux.Handle(peer.RetainedPath, g.catalogRelay.RetainedHandler(g.watcher))
	handlers := []struct {
		address savorystep.Address
		handler http.Handler
	}{
		{address: g.settings.PeerAddress, handler: peerMux},
		{address: g.settings.DirectoryAddress, handler: platform.NewDirectoryHandler(g.directory.Lookup)},
		{address: g.metricsAddress(), handler: g.metricsHandler()},
		{address: g.settings.ReadinessAddress, handler: platform.NewReadinessHandler(g.isReady)},
	}
	var servers []*http1.Server
	for _, h := range handlers {
		if h.address == "" {
			continue
		}
		listener, err := g.listen(ctx, h.address)
		if err != nil {
			return nil, err
		}
		servers = append(servers, serveHTTP(ctx, listener, h.handler, nil))
	}
	return servers, nil
}

func (g *gateway) listen(ctx context.Context, address savorystep.Address) (net.Listener, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", string(address))
	if err != nil {
		return nil, savorystep.WrapError(savorystep.KindBadRequest, err, "listen on %s", address)
	}
	return listener, nil
}

// isReady reports whether lookups may direct callers to this instance.
func (g *gateway) isReady() bool {
	return !g.isLeaving.Load() && g.router.IsReady()
}

// publishStatus publishes the status of this instance to its peers. The suspicion of
// the own network and the request rate stay zero, because gateways do not use them.
func (g *gateway) publishStatus() {
	var revision savorystep.Revision
	if routing := g.router.Routing(); routing != nil {
		revision = routing.Revision
	}
	g.exchange.SetStatus(g.isReady(), g.isLeaving.Load(), false, revision, 0)
}

// runMaintenance publishes the status, passes the current members to the router and
// closes expired connections to endpoints, every gatewayMaintenanceInterval until ctx ends.
func (g *gateway) runMaintenance(ctx context.Context) {
	lastCount := 0
	detector := stallDetector{interval: gatewayMaintenanceInterval, minStall: minStall}
	for savorystep.Sleep(ctx, gatewayMaintenanceInterval) {
		now := g.clock.Now()
		if stall := detector.tick(now); stall > 0 {
			gatewayLogger.Warningf("the process stood still for %v, its requests in flight and timers are late by as much", stall.Round(time.Millisecond))
		}
		g.publishStatus()
		members := g.exchange.Members(now)
		ids := make([]savorystep.InstanceID, len(members))
		for i, m := range members {
			ids[i] = m.Instance.ID
		}
		g.router.SetInstances(now, ids)
		if len(ids) != lastCount {
			lastCount = len(ids)
			gatewayLogger.Infof("%d instances are known: %v", lastCount, ids)
		}
		g.pool.CloseExpired(now)
	}
}
