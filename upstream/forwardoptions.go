package upstream

import (
	"context"

	"savorystep"
)

// forwardOptions carry the settings of the forwarders around the Pool for one
// request, by way of its context.
type forwardOptions struct {
	// avoid lists endpoints that must not be used.
	avoid []savorystep.EndpointID
	// newConn requires a new connection.
	newConn bool
	// onEndpointCrashed is called when an endpoint crashed while it ran the
	// request, before the error is returned. It is nil without a Quarantine.
	onEndpointCrashed func(endpoint savorystep.Endpoint)
	// beforeRetry is called before a retry. It returns an error if the request
	// must not be sent again. It is nil without a Quarantine.
	beforeRetry func(ctx context.Context) error
}

// forwardOptionsKey is the context key of forwardOptions.
type forwardOptionsKey struct{}

// optionsFrom returns the options in a context, or empty ones.
func optionsFrom(ctx context.Context) forwardOptions {
	options, ok := ctx.Value(forwardOptionsKey{}).(*forwardOptions)
	if !ok {
		return forwardOptions{}
	}
	return *options
}

// withContext returns a context that carries the options.
func (o forwardOptions) withContext(ctx context.Context) context.Context {
	return context.WithValue(ctx, forwardOptionsKey{}, &o)
}

// avoids reports whether an endpoint must not be used.
func (o *forwardOptions) avoids(id savorystep.EndpointID) bool {
	for _, avoided := range o.avoid {
		if avoided == id {
			return true
		}
	}
	return false
}

// WithAvoidedEndpoints returns a context in which a Pool does not use the given
// endpoints and opens a new connection.
func WithAvoidedEndpoints(ctx context.Context, endpoints ...savorystep.EndpointID) context.Context {
	options := optionsFrom(ctx)
	options.avoid = append(options.avoid[:len(options.avoid):len(options.avoid)], endpoints...)
	options.newConn = true
	return options.withContext(ctx)
}
