package cmd

import (
	"context"
	"crypto/tls"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"savorystep"
	"savorystep/caller"
	"savorystep/operator"
	"savorystep/peer"
	"savorystep/store"
	"savorystep/upstream"
)

const (
	// statusInterval is how often an instance states its status anew.
	statusInterval = 250 * time.Millisecond
	// shutdownTimeout bounds the end of the listeners for peers and operators.
	shutdownTimeout = 2 * time.Second
	// registerTimeout bounds one call that registers the instance.
	registerTimeout = 3 * time.Second
)

// serveLogger is the log of the instance as a whole.
const serveLogger = savorystep.Logger("serve")

// An instance is one process of savorystep, or one of several in a test.
type instance struct {
	config           instanceConfig
	self             savorystep.Instance
	budgets          *store.Budgets
	callerServer     *caller.Server
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

	leaving atomic.Bool
}

// newInstance puts the parts of an instance together.
func newInstance(
	config instanceConfig,
	self savorystep.Instance,
	budgets *store.Budgets,
	server *caller.Server,
	client *store.Client,
	exchange *peer.Exchange,
	forwarder *upstream.KeyedForwarder,
	keys *store.IdempotencyStore,
	lists *peer.EndpointListCache,
	log *store.Log,
	operator *operatorHandler,
	pool *upstream.Pool,
	registry *prometheus.Registry,
	ring *peer.EventRing,
	unknown *caller.UnknownNamePublisher,
) *instance {
	built := &instance{
		config:           config,
		self:             self,
		budgets:          budgets,
		callerServer:     server,
		platformClient:   client,
		exchange:         exchange,
		forwarder:        forwarder,
		idempotencyStore: keys,
		endpointLists:    lists,
		configLog:        log,
		operatorHandler:  operator,
		pool:             pool,
		events:           ring,
		unknownNames:     unknown,
	}
	built.registerMetrics(registry)
	return built
}

// buildInstance makes an instance from its configuration.
func buildInstance(config instanceConfig) (*instance, error) {
	if config.Clock == nil {
		config.Clock = savorystep.SystemClock{}
	}
	container, err := newContainer(config)
	if err != nil {
		return nil, err
	}
	var built *instance
	err = container.Invoke(func(i *instance) { built = i })
	return built, err
}

// Run serves until ctx ends, then stops gracefully. The callers' listener goes
// first, while all parts that its requests need still work.
func (i *instance) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group errgroup.Group
	i.startParts(background, &group)
	operators, err := i.serveOperators(background)
	if err != nil {
		return err
	}
	peers := i.servePeers(background)
	i.events.Record(savorystep.Event{Kind: savorystep.EventStart, Region: i.self.Place.Region, Text: "Started."})
	serveLogger.Infof("Instance %s serves callers on %s.", i.self.ID, i.self.CallerAddress)
	callers := i.callerServer.Serve(ctx, i.config.Listeners.Caller)
	err = i.waitForStop(ctx, callers)
	i.drainRequests()
	stop()
	close(i.operatorHandler.shutdown)
	for _, server := range []*http.Server{operators, peers} {
		shutdownServer(server)
	}
	err = errors.Join(err, group.Wait())
	i.platformClient.Close()
	serveLogger.Infof("Instance %s stopped.", i.self.ID)
	return err
}

// startParts starts the parts that work in the background.
func (i *instance) startParts(ctx context.Context, group *errgroup.Group) {
	for _, runner := range []savorystep.Runner{i.exchange, i.configLog, i.budgets, i.idempotencyStore, i.pool, i.unknownNames, i} {
		ended := runner.Start(ctx)
		group.Go(func() error { return ignoreCanceled(<-ended) })
	}
}

// waitForStop waits for the callers' listener to end, for the platform's word that
// this instance was taken for ended, or for ctx, whose end starts the stop.
func (i *instance) waitForStop(ctx context.Context, callers <-chan error) error {
	select {
	case err := <-callers:
		return ignoreServerClosed(err)
	case err := <-i.platformClient.RegistrationLost():
		return savorystep.WrapError(savorystep.KindPlatformDown, err, "the platform lists this instance as ended")
	case <-ctx.Done():
		i.announceLeaving()
		return ignoreServerClosed(<-callers)
	}
}

// announceLeaving tells peers and the platform that this instance is leaving.
func (i *instance) announceLeaving() {
	i.leaving.Store(true)
	i.publishStatus()
	i.events.Record(savorystep.Event{Kind: savorystep.EventStop, Region: i.self.Place.Region, Text: "Leaving."})
	leaving := i.self
	leaving.State = savorystep.StateLeaving
	go i.register(context.Background(), leaving)
}

// drainRequests waits for the requests that outlive their callers, and for
// their keys.
func (i *instance) drainRequests() {
	i.forwarder.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), i.config.Settings.Limits.DrainTimeout)
	defer cancel()
	if err := i.idempotencyStore.Drain(ctx); err != nil {
		serveLogger.Warningf("Some keys were not settled: %v.", err)
	}
}

// Start registers the instance and states its status until ctx ends.
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

// runRegistration registers the instance, again until the platform takes it.
// It is apart from the status, which must not wait for a slow platform.
func (i *instance) runRegistration(ctx context.Context) error {
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	for !i.leaving.Load() && !i.register(ctx, i.self) {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
	return nil
}

// publishStatusPeriodically states the status at intervals.
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

// publishStatusOnRevision states the status as soon as a new revision is in force, since
// peers leave an instance out of lookups while they think it is behind.
func (i *instance) publishStatusOnRevision(ctx context.Context) error {
	for {
		next := i.configLog.View().Revision + 1
		if err := i.configLog.Wait(ctx, next); err != nil {
			return ignoreCanceled(ctx.Err())
		}
		i.publishStatus()
	}
}

// register tells the platform about this instance and reports success.
func (i *instance) register(ctx context.Context, self savorystep.Instance) bool {
	limited, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	if err := i.platformClient.Register(limited, self); err != nil {
		serveLogger.Debugf("The platform did not take the registration: %v.", err)
		return false
	}
	return true
}

// publishStatus states the status of this instance to its peers.
func (i *instance) publishStatus() {
	i.exchange.SetStatus(readinessError(i.configLog, i.endpointLists) == nil, i.leaving.Load(), i.pool.SuspectsOwnNetwork(), i.configLog.View().Revision, i.callerServer.RequestRate(i.config.Clock.Now()))
}

// serveOperators starts the operators' listener.
func (i *instance) serveOperators(ctx context.Context) (*http.Server, error) {
	config, err := operator.ServerTLSConfig(i.config.Settings.Operator)
	if err != nil {
		return nil, err
	}
	listener := i.config.Listeners.Operator
	if config != nil {
		listener = tls.NewListener(listener, config)
	}
	return serveHTTP(ctx, listener, i.operatorHandler), nil
}

// servePeers starts the listener for other instances.
func (i *instance) servePeers(ctx context.Context) *http.Server {
	mux := http.NewServeMux()
	mux.Handle(peer.WebSocketPath, i.exchange.Handler())
	mux.Handle(peer.StatusesPath, i.exchange.Handler())
	mux.Handle(peer.EndpointListPath, i.endpointLists)
	return serveHTTP(ctx, i.config.Listeners.Peer, mux)
}
