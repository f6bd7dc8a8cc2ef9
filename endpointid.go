package savorystep

// An EndpointID names one endpoint of an upstream service.
type EndpointID string
