package savorystep

import "time"

// A ServiceSpec is what the configuration says of a service.
type ServiceSpec struct {
	Name Service
	// HealthPath is the path of the endpoints' health check.
	HealthPath string
	// MaxConnections is how many connections an endpoint accepts from all
	// instances together.
	MaxConnections int `cbor:"Connections"`
	// Warmup is how long an endpoint is cold after its start.
	Warmup time.Duration
	// ColdRate is how many requests per second a cold endpoint stands.
	ColdRate float64
}
