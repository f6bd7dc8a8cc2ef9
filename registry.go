package savorystep

import "context"

// A Registry is the platform's lagging list of live and leaving instances.
// Errors have kind KindPlatformDown.
type Registry interface {
	// Endpoints lists the endpoints of all upstream services.
	Endpoints(ctx context.Context) ([]Endpoint, error)
	// Instances lists the instances of savorystep, ended ones included for at
	// least an hour.
	Instances(ctx context.Context) ([]Instance, error)
	// Register tells the platform that this instance runs. The platform lists
	// the instance as ended once the process is gone.
	Register(ctx context.Context, instance Instance) error
}
