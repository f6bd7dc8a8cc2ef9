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
	onEndpointDied func(endpoint savorystep.EndpointID)
	// again is asked before a retry. It returns an error if the request must
	// not be sent again. It is nil without a Quarantine.
	beforeRetry func(ctx context.Context) error
}

// routeKey is the context key of a route.
type forwardOptionsKey struct{}

// routeOf returns the route in a context, or an empty one.
func optionsFrom(ctx context.Context) forwardOptions {
	r, ok := ctx.Value(forwardOptionsKey{}).(*forwardOptions)
	if !ok {
		return forwardOptions{}
	}
	return *r
}

// with returns a context that carries the route.
func (r forwardOptions) with(ctx context.Context) context.Context {
	return context.WithValue(ctx, forwardOptionsKey{}, &r)
}

// avoids reports whether an endpoint must not be used.
func (r *forwardOptions) avoids(id savorystep.EndpointID) bool {
	for _, avoided := range r.avoid {
		if avoided == id {
			return true
		}
	}
	return false
}

// WithAvoidedEndpoints returns a context in which a Pool does not use the given endpoints
// and makes a new connection.
func WithAvoidedEndpoints(ctx context.Context, endpoints ...savorystep.EndpointID) context.Context {
	r := optionsFrom(ctx)
	r.avoid = append(r.avoid[:len(r.avoid):len(r.avoid)], endpoints...)
	r.newConn = true
	return r.with(ctx)
}
