package simulation

import (
	"fmt"
	"time"

	"savorystep"
	"savorystep/endpoint"
)

// An instance is one instance of the fleet. A restart replaces its table and
// name.
type instance struct {
	place savorystep.Place
	table *endpoint.Table
	id    savorystep.InstanceID
	// starts counts its starts.
	starts int
	// cut is true while it hears of nobody.
	cut bool
}

// start begins with an empty table.
func (i *instance) start(number int, limits Limits) {
	i.starts++
	i.id = savorystep.InstanceID(fmt.Sprintf("instance-%d-%d", number, i.starts))
	i.table = endpoint.NewTable(endpoint.Config{
		Self: i.id, ColdFactor: limits.ColdFactor, ColdSlack: limits.ColdSlack,
		RetryRatio: limits.RetryRatio, RetrySlack: limits.RetrySlack, RetryWindow: limits.RetryWindow,
	})
	i.table.SetSpecs(map[savorystep.Service]savorystep.ServiceSpec{service: {Name: service, ColdRate: limits.ColdRate}})
}

const (
	// service is the only service of a simulation.
	service = savorystep.Service("service")
	// listPeriod is the time between reads of the endpoint list.
	listPeriod = 800 * time.Millisecond
	// memberPeriod is the time between looks at the other instances.
	memberPeriod = 250 * time.Millisecond
	// memberDelay is how long after its start an instance is known to others.
	memberDelay = 2 * time.Second
	// warmup is how long an endpoint is cold.
	warmup = 3 * time.Second
	// nearWay and farWay are one-way times within a region and between regions,
	// those of both sites.
	nearWay = 1500 * time.Microsecond
	farWay  = 35 * time.Millisecond
	// maxTries, leastReturn and spreadReturn are those of the front.
	maxTries     = 4
	leastReturn  = 200 * time.Millisecond
	spreadReturn = 400 * time.Millisecond
)
