package upstream

import (
	"context"

	"savorystep"
)

// A route carries what the wrappers of one request tell the Pool.
type forwardOptions struct {
	// avoid lists endpoints that must not be used.
	avoid []savorystep.EndpointID
	// fresh asks for a new connection.
	newConn bool
	// died is called when an endpoint ended while it ran the request, before
	// the error is returned. It is nil without a Quarantine.
	onEndpointCrashed func(endpoint savorystep.EndpointID)
	// again is asked before a retry. It returns an error if the request must
	// not be sent again. It is nil without a Quarantine.
	beforeRetry func(ctx context.Context) error
}

// routeKey is the context key of a route.
type forwardOptionsKey struct{}

// routeOf returns the route in a context, or an empty one.
func optionsFrom(ctx context.Context) forwardOptions {
	options, ok := ctx.Value(forwardOptionsKey{}).(*forwardOptions)
	if !ok {
		return forwardOptions{}
	}
	return *options
}

// with returns a context that carries the route.
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

// WithAvoidedEndpoints returns a context in which a Pool does not use the given endpoints
// and makes a new connection.
func WithAvoidedEndpoints(ctx context.Context, endpoints ...savorystep.EndpointID) context.Context {
	options := optionsFrom(ctx)
	options.avoid = append(options.avoid[:len(options.avoid):len(options.avoid)], endpoints...)
	options.newConn = true
	return options.withContext(ctx)
}
