package cmd

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"

	"savorystep"
	"savorystep/caller"
	"savorystep/operator"
	"savorystep/peer"
	"savorystep/store"
	"savorystep/upstream"
)

// An operatorHandler serves the operators' listener. Closing shutdown ends its
// event streams.
type operatorHandler struct {
	http.Handler
	shutdown chan struct{}
}

// newOperatorHandler returns the handler of an instance's operators' listener.
func newOperatorHandler(
	config instanceConfig,
	self savorystep.Instance,
	exchange *peer.Exchange,
	lists *peer.EndpointListCache,
	log *store.Log,
	pool *upstream.Pool,
	registry *prometheus.Registry,
	ring *peer.EventRing,
	resolver *caller.Resolver,
) *operatorHandler {
	access := config.Settings.Operator
	shutdown := make(chan struct{})
	handler := operator.NewServer(operator.ServerConfig{
		VerifyClientCerts: access.CAFile != "",
		Clock:             config.Clock,
		Config:            log,
		Endpoints:         pool,
		ExplainLookup: func(name, from string) (any, error) {
			return resolver.Explain(savorystep.Name(name), from, config.Clock.Now())
		},
		Facts:      exchange,
		Gatherer:   registry,
		Members:    exchange,
		CheckReady: func() error { return readinessError(log, lists) },
		Recorder:   ring,
		Registerer: registry,
		Self:       self,
		Shutdown:   shutdown,
		Token:      access.Token,
	})
	return &operatorHandler{Handler: handler, shutdown: shutdown}
}

// readinessError returns the reason why the instance is not ready, nil if it is
// ready.
func readinessError(log *store.Log, lists *peer.EndpointListCache) error {
	if !log.Ready() {
		return savorystep.NewError(savorystep.KindNotReady, "the configuration is not confirmed to be current")
	}
	if !lists.HasList() {
		return savorystep.NewError(savorystep.KindNotReady, "no endpoint list has been loaded yet")
	}
	return nil
}
