package simulation

import (
	"fmt"
	"time"

	"savorystep"
	"savorystep/endpoint"
)

// An instance is a simulated instance. A restart replaces its table and its id.
type instance struct {
	place savorystep.Place
	table *endpoint.Table
	id    savorystep.InstanceID
	// starts counts its starts.
	starts int
	// isPartitioned is true while it and the other instances do not see each other.
	isPartitioned bool
	// isStopping is true while it gets no requests and ends.
	isStopping bool
	// staleList is the endpoint list that it reads during an outage, nil otherwise.
	staleList []savorystep.Endpoint
	// frozenUntil is when a frozen instance runs again.
	frozenUntil time.Duration
}

// delay returns how long after now the instance handles what arrives after a
// network delay.
func (i *instance) delay(now, network time.Duration) time.Duration {
	return max(network, i.frozenUntil-now)
}

// start starts the instance with an empty table and a new id.
func (i *instance) start(number int, limits Limits) {
	i.starts++
	i.id = savorystep.InstanceID(fmt.Sprintf("instance-%d-%d", number, i.starts))
	i.table = endpoint.NewTable(endpoint.Config{
		Self: i.id, ColdFactor: limits.ColdFactor, ColdSlack: limits.ColdSlack,
		RetryRatio: limits.RetryRatio, RetrySlack: limits.RetrySlack, RetryWindow: limits.RetryWindow,
		MayReplace: i.starts > 1,
	})
	i.table.SetSpecs(map[savorystep.Service]savorystep.ServiceSpec{service: {Name: service, ColdRate: limits.ColdRate, Warmup: warmup}})
}

const (
	// service is the only service of a simulation.
	service = savorystep.Service("service")
	// listPeriod is the time between two reads of the endpoint list by an instance.
	listPeriod = 800 * time.Millisecond
	// membershipPeriod is the time between two updates of the instances that an
	// instance sees.
	membershipPeriod = 250 * time.Millisecond
	// membershipDelay is how long after its start an instance and the others see
	// each other.
	membershipDelay = 2 * time.Second
	// factDelay is how long a fact takes to the other instances.
	factDelay = 150 * time.Millisecond
	// reconnectDelay is how long after a standstill an instance gets the facts that it
	// missed.
	reconnectDelay = time.Second
	// warmup is how long an endpoint is cold.
	warmup = 3 * time.Second
	// sameRegionDelay and otherRegionDelay are the one-way network delays within a
	// region and between regions, as at both sites.
	sameRegionDelay  = 1500 * time.Microsecond
	otherRegionDelay = 35 * time.Millisecond
	// maxAttempts, minRetryAfter and retryAfterSpread are equal to those of package
	// ingress. A refused caller retries after a random time of at least minRetryAfter
	// and less than retryAfterSpread more.
	maxAttempts      = 4
	minRetryAfter    = 200 * time.Millisecond
	retryAfterSpread = 400 * time.Millisecond
)
