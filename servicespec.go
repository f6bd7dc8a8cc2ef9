package savorystep

import "time"

// A ServiceSpec is the configuration of a service. Fields are encoded under their Go
// names unless a tag says otherwise.
type ServiceSpec struct {
	Name Service
	// HealthPath is the path of the health check of the service's endpoints.
	HealthPath string
	// MaxConnections is the maximum number of connections that an endpoint accepts
	// from all instances together.
	MaxConnections int `cbor:"Connections"`
	// Warmup is the time for which an endpoint is cold after its start.
	Warmup time.Duration
	// ColdRate is the rate of requests per second that a cold endpoint sustains.
	ColdRate float64
}
