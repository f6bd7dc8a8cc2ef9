package endpoint

import "savorystep"

// A Query asks for an endpoint for one request.
type Query struct {
	Service savorystep.Service
	// Key is the hash of the object that the request is about.
	Key uint64
	// Home is the region of this instance. Near requests stay there as long as
	// an endpoint there has a free slot.
	Home savorystep.Region
	Near bool
	// Regions are where the request may run. Empty means anywhere.
	Regions []savorystep.Region
	// Tried are endpoints that the request was sent to before.
	Tried []savorystep.EndpointID
}
