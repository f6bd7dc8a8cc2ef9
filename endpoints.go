package savorystep

import "time"

// Endpoints is the set of upstream endpoints that this instance may use.
type Endpoints interface {
	// RegionLoads returns what a region can take for a service now.
	RegionLoads(service Service, now time.Time) []RegionLoad
}

// A RegionLoad is the load of a service in a region as this instance sees it.
type RegionLoad struct {
	Region Region `json:"region"`
	// Slots counts the slots of usable endpoints.
	Slots Slots `json:"slots"`
	// UsedSlots counts the slots in use by all instances.
	UsedSlots Slots `json:"used"`
	// Queued counts the requests that wait at this instance.
	Queued int `json:"queued"`
	// UsableEndpoints and Endpoints count endpoints.
	UsableEndpoints int `json:"usable"`
	Endpoints       int `json:"endpoints"`
}
