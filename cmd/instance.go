package cmd

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"savorystep"
	"savorystep/caller"
	"savorystep/http1"
	"savorystep/operator"
	"savorystep/peer"
	"savorystep/store"
	"savorystep/upstream"
)

const (
	// statusInterval is the interval at which an instance publishes its status to
	// peers, and the interval between attempts to register.
	statusInterval = 250 * time.Millisecond
	// shutdownTimeout limits the graceful shutdown of the servers for peers and
	// operators.
	shutdownTimeout = 2 * time.Second
	// registerTimeout limits one registration call to the platform.
	registerTimeout = 3 * time.Second
)

// serveLogger logs the lifecycle of an instance and of its servers.
const serveLogger = savorystep.Logger("serve")

// An instance is one savorystep server. Tests and the demo run several in one
// process.
type instance struct {
	config           instanceConfig
	self             savorystep.Instance
	budgets          *store.Budgets
	callerServer     *caller.Server
	crashKeeper      *upstream.CrashKeeper
	platformClient   *store.Client
	exchange         *peer.Exchange
	forwarder        *upstream.KeyedForwarder
	idempotencyStore *store.IdempotencyStore
	endpointLists    *peer.EndpointListCache
	configLog        *store.Log
	operatorHandler  *operatorHandler
	pool             *upstream.Pool
	events           *peer.EventRing
	unknownNames     *caller.UnknownNamePublisher

	isLeaving atomic.Bool
}

// newInstance assembles an instance from its components and registers its metrics.
func newInstance(
	config instanceConfig,
	self savorystep.Instance,
	budgets *store.Budgets,
	callerServer *caller.Server,
	crashKeeper *upstream.CrashKeeper,
	platformClient *store.Client,
	exchange *peer.Exchange,
	forwarder *upstream.KeyedForwarder,
	idempotencyStore *store.IdempotencyStore,
	endpointLists *peer.EndpointListCache,
	configLog *store.Log,
	operatorHandler *operatorHandler,
	pool *upstream.Pool,
	registry *prometheus.Registry,
	events *peer.EventRing,
	unknownNames *caller.UnknownNamePublisher,
) *instance {
	inst := &instance{
		config:           config,
		self:             self,
		budgets:          budgets,
		callerServer:     callerServer,
		crashKeeper:      crashKeeper,
		platformClient:   platformClient,
		exchange:         exchange,
		forwarder:        forwarder,
		idempotencyStore: idempotencyStore,
		endpointLists:    endpointLists,
		configLog:        configLog,
		operatorHandler:  operatorHandler,
		pool:             pool,
		events:           events,
		unknownNames:     unknownNames,
	}
	inst.registerMetrics(registry)
	return inst
}

// buildInstance creates an instance and all its components. A nil Clock means the
// system clock.
func buildInstance(config instanceConfig) (*instance, error) {
	if config.Clock == nil {
		config.Clock = savorystep.SystemClock{}
	}
	container, err := newContainer(config)
	if err != nil {
		return nil, err
	}
	var inst *instance
	err = container.Invoke(func(created *instance) { inst = created })
	return inst, err
}

// Run serves until ctx ends, then shuts down gracefully. The callers' listener is
// closed first, while all components that its requests need still run.
func (i *instance) Run(ctx context.Context) error {
	backgroundCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var group errgroup.Group
	i.startRunners(backgroundCtx, &group)
	operatorServer, err := i.serveOperators(backgroundCtx)
	if err != nil {
		return err
	}
	peerServer := i.servePeers(backgroundCtx)
	i.events.Record(savorystep.Event{Kind: savorystep.EventStart, Region: i.self.Place.Region, Text: "Started."})
	serveLogger.Infof("instance %s serves callers on %s", i.self.ID, i.self.CallerAddress)
	callersDone := i.callerServer.Serve(ctx, i.config.Listeners.Caller)
	err = i.waitForStop(ctx, callersDone)
	i.drainRequests()
	cancel()
	close(i.operatorHandler.shutdown)
	shutdownServers([]*http1.Server{operatorServer, peerServer}, shutdownTimeout)
	err = errors.Join(err, group.Wait())
	i.platformClient.Close()
	serveLogger.Infof("instance %s stopped", i.self.ID)
	return err
}

// startRunners starts the background work of the components.
func (i *instance) startRunners(ctx context.Context, group *errgroup.Group) {
	for _, runner := range []savorystep.Runner{i.exchange, i.configLog, i.crashKeeper, i.budgets, i.idempotencyStore, i.pool, i.unknownNames, i} {
		done := runner.Start(ctx)
		group.Go(func() error { return ignoreCanceled(<-done) })
	}
}

// waitForStop waits until the callers' server ends, the platform has ended this
// instance's registration, or ctx ends. When ctx ends it announces that the
// instance is leaving and waits for the callers' server to drain.
func (i *instance) waitForStop(ctx context.Context, callersDone <-chan error) error {
	select {
	case err := <-callersDone:
		return ignoreServerClosed(err)
	case err := <-i.platformClient.RegistrationLost():
		return savorystep.WrapError(savorystep.KindPlatformDown, err, "the platform lists instance %s as ended", i.self.ID)
	case <-ctx.Done():
		i.announceLeaving()
		return ignoreServerClosed(<-callersDone)
	}
}

// announceLeaving publishes to peers and the platform that this instance is
// leaving. It does not wait for the platform.
func (i *instance) announceLeaving() {
	i.isLeaving.Store(true)
	i.publishStatus()
	i.events.Record(savorystep.Event{Kind: savorystep.EventStop, Region: i.self.Place.Region, Text: "Leaving."})
	leavingSelf := i.self
	leavingSelf.State = savorystep.StateLeaving
	go i.register(context.Background(), leavingSelf)
}

// drainRequests waits for requests that still run although their callers have
// left, and then, for at most the drain timeout, for their idempotency keys to be
// settled.
func (i *instance) drainRequests() {
	i.forwarder.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), i.config.Settings.Limits.DrainTimeout)
	defer cancel()
	if err := i.idempotencyStore.Drain(ctx); err != nil {
		serveLogger.Warningf("some idempotency keys were not settled before the drain timeout: %v", err)
	}
}

// Start registers the instance and publishes its status until ctx ends.
func (i *instance) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		var group errgroup.Group
		group.Go(func() error { return i.runRegistration(ctx) })
		group.Go(func() error { return i.publishStatusPeriodically(ctx) })
		group.Go(func() error { return i.publishStatusOnRevision(ctx) })
		done <- group.Wait()
	}()
	return done
}

// runRegistration retries the registration until it succeeds, the instance is
// leaving or ctx ends. It runs in a goroutine of its own, since a slow platform
// must not delay the status.
func (i *instance) runRegistration(ctx context.Context) error {
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	for !i.isLeaving.Load() && !i.register(ctx, i.self) {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
	return nil
}

// publishStatusPeriodically publishes the status every statusInterval.
func (i *instance) publishStatusPeriodically(ctx context.Context) error {
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	for {
		i.publishStatus()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// publishStatusOnRevision publishes the status as soon as a new revision is in
// force, because peers omit an instance from lookups while the last status they
// received from it has an older revision.
func (i *instance) publishStatusOnRevision(ctx context.Context) error {
	for {
		next := i.configLog.View().Revision + 1
		if err := i.configLog.Wait(ctx, next); err != nil {
			return ignoreCanceled(ctx.Err())
		}
		i.publishStatus()
	}
}

// register registers an instance with the platform and reports whether that
// succeeded.
func (i *instance) register(ctx context.Context, self savorystep.Instance) bool {
	callCtx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	if err := i.platformClient.Register(callCtx, self); err != nil {
		serveLogger.Debugf("register instance %s with the platform: %v", self.ID, err)
		return false
	}
	return true
}

// publishStatus publishes the status of this instance to its peers.
func (i *instance) publishStatus() {
	i.exchange.SetStatus(readinessError(i.configLog, i.endpointLists) == nil, i.isLeaving.Load(), i.pool.SuspectsOwnNetwork(), i.configLog.View().Revision, i.callerServer.RequestRate(i.config.Clock.Now()))
}

// serveOperators starts the operators' server, with TLS if it is configured.
func (i *instance) serveOperators(ctx context.Context) (*http1.Server, error) {
	config, err := operator.ServerTLSConfig(i.config.Settings.Operator)
	if err != nil {
		return nil, err
	}
	return serveHTTP(ctx, i.config.Listeners.Operator, i.operatorHandler, config), nil
}

// servePeers starts the server for other instances.
func (i *instance) servePeers(ctx context.Context) *http1.Server {
	mux := http.NewServeMux()
	mux.Handle(peer.WebSocketPath, i.exchange.Handler())
	mux.Handle(peer.StatusesPath, i.exchange.Handler())
	mux.Handle(peer.EndpointListPath, i.endpointLists)
	return serveHTTP(ctx, i.config.Listeners.Peer, mux, nil)
}
