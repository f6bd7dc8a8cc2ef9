package savorystep

import "context"

// A Registry is the platform's list of endpoints and instances. The list lags behind
// their actual state. Errors have kind KindPlatformDown.
type Registry interface {
	// Endpoints lists the endpoints of all upstream services.
	Endpoints(ctx context.Context) ([]Endpoint, error)
	// Instances lists the instances of savorystep. Instances that ended remain
	// listed for at least one hour.
	Instances(ctx context.Context) ([]Instance, error)
	// Register adds this instance to the list. The platform lists it as ended once
	// the process has terminated.
	Register(ctx context.Context, instance Instance) error
}
