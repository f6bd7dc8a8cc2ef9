package savorystep

import "time"

// Endpoints is the set of upstream endpoints that this instance may send to.
type Endpoints interface {
	// RegionLoads returns the capacity and load of a service in each region at
	// the given time.
	RegionLoads(service Service, now time.Time) []RegionLoad
}

// A RegionLoad is the load of a service in a region as this instance sees it.
type RegionLoad struct {
	Region Region `json:"region"`
	// Slots is the sum of the slots of usable endpoints.
	Slots Slots `json:"slots"`
	// UsedSlots is the number of slots in use by all instances.
	UsedSlots Slots `json:"used"`
	// Queued is the number of requests in the queue of this instance.
	Queued int `json:"queued"`
	// UsableEndpoints is the number of endpoints that take requests, out of
	// Endpoints in all.
	UsableEndpoints int `json:"usable"`
	Endpoints       int `json:"endpoints"`
}
