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
	"github.com/prometheus/client_golang/prometheus/promhttp"
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
	// gatewayMaintenanceInterval is the time between looks at the members and the state.
	gatewayMaintenanceInterval = 250 * time.Millisecond
	// graceMargin is what is left of the grace time when the last request is
	// finished or broken off.
	graceMargin = 500 * time.Millisecond
	// defaultGracePeriod holds if the settings state no grace time.
	defaultGracePeriod = 6 * time.Second
)

// gatewayLogger is the log of the gateway as a whole.
const gatewayLogger = savorystep.Logger("gateway")

// A gateway is one instance on the users' platform.
type gateway struct {
	settings     platform.Settings
	self         savorystep.Instance
	client       *platform.Client
	directory    *ingress.Directory
	exchange     *peer.Exchange
	proxy        *ingress.Proxy
	pool         *http1.Pool
	catalogRelay *peer.CatalogRelay
	router       *ingress.Router
	watcher      *ingress.Watcher
	clock        savorystep.Clock
	logWriter    *stdout.Writer
	options      gatewayOptions
	registry     *prometheus.Registry

	leaving atomic.Bool
}

// newGateway puts the parts of a gateway together.
func newGateway(
	settings platform.Settings,
	self savorystep.Instance,
	client *platform.Client,
	directory *ingress.Directory,
	exchange *peer.Exchange,
	front *ingress.Proxy,
	pool *http1.Pool,
	relay *peer.CatalogRelay,
	steering *ingress.Router,
	watcher *ingress.Watcher,
	clock savorystep.Clock,
	options gatewayOptions,
	registry *prometheus.Registry,
) *gateway {
	g := &gateway{
		settings: settings, self: self, client: client, directory: directory, exchange: exchange,
		proxy: front, pool: pool, catalogRelay: relay, router: steering, watcher: watcher,
		clock: clock, logWriter: stdout.New(os.Stdout), options: options, registry: registry,
	}
	g.registerMetrics()
	return g
}

// Run serves until ctx ends, then stops gracefully.
func (g *gateway) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group errgroup.Group
	stopLines := g.startLogWriter()
	defer stopLines()
	for _, runner := range []savorystep.Runner{g.exchange, g.watcher} {
		ended := runner.Start(background)
		group.Go(func() error { return ignoreCanceled(<-ended) })
	}
	group.Go(func() error { g.runMaintenance(background); return nil })
	group.Go(func() error { g.watchSettings(background); return nil })
	servers, err := g.serveInternal(background)
	if err != nil {
		return err
	}
	listener, err := g.listen(ctx, g.settings.CallerAddress)
	if err != nil {
		return err
	}
	server := ingress.NewServer(g.proxy, listener)
	callers := server.Serve()
	gatewayLogger.Infof("instance %s in zone %s serves callers on %s", g.self.ID, g.self.Place.Zone, g.self.CallerAddress)
	select {
	case err = <-callers:
	case <-ctx.Done():
		gatewayLogger.Infof("instance %s stops", g.self.ID)
		g.leaving.Store(true)
		g.publishStatus()
		server.Shutdown(background, g.gracePeriod()-graceMargin)
		err = <-callers
	}
	stop()
	for _, inner := range servers {
		_ = inner.Close()
	}
	err = errors.Join(err, group.Wait())
	g.client.Close()
	gatewayLogger.Infof("instance %s stopped", g.self.ID)
	return err
}

// startLogWriter sends the log to standard output. The result stops it after the
// last line.
func (g *gateway) startLogWriter() func() {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{"logtostderr": "false", "stderrthreshold": "FATAL"} {
		if err := flags.Set(name, value); err != nil {
			gatewayLogger.Errorf("log flag %s: %v", name, err)
		}
	}
	klog.SetOutput(g.logWriter)
	ctx, cancel := context.WithCancel(context.Background())
	done := g.logWriter.Start(ctx)
	return func() {
		klog.Flush()
		cancel()
		if err := <-done; err != nil {
			_, _ = fmt.Fprintf(os.Stderr, "standard output: %v\n", err)
		}
	}
}

// metricsAddress returns the address of the metrics, empty if there are none.
func (g *gateway) metricsAddress() savorystep.Address {
	if g.options.MetricsPort == 0 || g.settings.IP == "" {
		return ""
	}
	return savorystep.Address(net.JoinHostPort(g.settings.IP, strconv.Itoa(g.options.MetricsPort)))
}

// gracePeriod returns the time between SIGTERM and SIGKILL.
func (g *gateway) gracePeriod() time.Duration {
	if g.settings.Bounds.TerminationGrace > 0 {
		return g.settings.Bounds.TerminationGrace
	}
	return defaultGracePeriod
}

// serveInternal serves the listeners for peers, lookups and the platform's check.
func (g *gateway) serveInternal(ctx context.Context) ([]*http.Server, error) {
	peers := http.NewServeMux()
	peers.Handle(peer.WebSocketPath, g.exchange.Handler())
	peers.Handle(peer.StatusesPath, g.exchange.Handler())
	peers.Handle("/catalog/", g.catalogRelay.Handler())
	handlers := []struct {
		address savorystep.Address
		handler http.Handler
	}{
		{address: g.settings.PeerAddress, handler: peers},
		{address: g.settings.DirectoryAddress, handler: platform.NewDirectoryHandler(g.directory.Addresses, ingress.LookupTTL)},
		{address: g.metricsAddress(), handler: promhttp.HandlerFor(g.registry, promhttp.HandlerOpts{})},
		{address: g.settings.ReadinessAddress, handler: platform.NewReadinessHandler(g.isReady)},
	}
	var servers []*http.Server
	for _, h := range handlers {
		if h.address == "" {
			continue
		}
		listener, err := g.listen(ctx, h.address)
		if err != nil {
			return nil, err
		}
		servers = append(servers, serveHTTP(ctx, listener, h.handler))
	}
	return servers, nil
}

func (g *gateway) listen(ctx context.Context, address savorystep.Address) (net.Listener, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", string(address))
	if err != nil {
		return nil, savorystep.WrapError(savorystep.KindBadRequest, err, "listener")
	}
	return listener, nil
}

// isReady reports whether callers may be sent here.
func (g *gateway) isReady() bool {
	return !g.leaving.Load() && g.router.IsReady()
}

// publishStatus tells the peers the publishStatus of this instance.
func (g *gateway) publishStatus() {
	var revision savorystep.Revision
	if routing := g.router.Routing(); routing != nil {
		revision = routing.Revision
	}
	g.exchange.SetStatus(g.isReady(), g.leaving.Load(), false, revision, 0)
}

// runMaintenance keeps the state told to peers and the known instances up to date.
func (g *gateway) runMaintenance(ctx context.Context) {
	known := 0
	stalls := stallDetector{interval: gatewayMaintenanceInterval}
	for savorystep.Sleep(ctx, gatewayMaintenanceInterval) {
		now := g.clock.Now()
		if stall := stalls.tick(now); stall > 0 {
			gatewayLogger.Warningf("the process stood still for %v, what it had under way is late by as much", stall.Round(time.Millisecond))
		}
		g.publishStatus()
		members := g.exchange.Members(now)
		ids := make([]savorystep.InstanceID, len(members))
		for i, m := range members {
			ids[i] = m.Instance.ID
		}
		g.router.SetInstances(now, ids)
		if len(ids) != known {
			known = len(ids)
			gatewayLogger.Infof("%d instances are known: %v", known, ids)
		}
		g.pool.CloseExpired(now)
	}
}
