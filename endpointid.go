package savorystep

// An EndpointID identifies an endpoint of an upstream service.
type EndpointID string
