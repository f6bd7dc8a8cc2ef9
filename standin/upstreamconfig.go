package standin

import (
	"net/http"
	"time"

	"savorystep"
)

// An UpstreamConfig configures an Upstream. Zero values have the defaults given
// at the fields.
type UpstreamConfig struct {
	ID      savorystep.EndpointID
	Service savorystep.Service
	// Slots is the maximum number of requests that run concurrently; 3 by
	// default.
	Slots savorystep.Slots
	// QueueCapacity is the maximum number of requests that wait for a slot; 1 by
	// default, none if negative. Requests beyond it are shed.
	QueueCapacity int
	// MaxConnections is the maximum number of connections; 330 by default.
	MaxConnections int
	// MeanServiceTime is the mean of the log-normal service time; 20 ms by
	// default, no service time if negative.
	MeanServiceTime time.Duration
	// Sigma is the standard deviation of the logarithm of the service time; 0.5
	// by default.
	Sigma float64
	// Seed determines the sequence of service times.
	Seed uint64
	// Latency is the one-way latency to the endpoint. It delays each request and
	// each response.
	Latency time.Duration
	// ConnectCost is added to the first request on each connection.
	ConnectCost time.Duration
	// WarmupRequests is the number of requests after which a cold endpoint is
	// warm; 0 means that it starts warm.
	WarmupRequests int
	// ColdFactor multiplies the service time of the first request. The factor
	// falls linearly to 1 with the requests of the warm-up; 4 by default.
	ColdFactor float64
	// Observe, if not nil, is called with true when a request starts to run and
	// with false when it ends.
	Observe func(r *http.Request, running bool)
	// Exit ends the process in a crash. If it is nil, a crash closes the listener
	// and resets all connections.
	Exit func()
}

// withDefaults returns the configuration with defaults for zero values.
func (c UpstreamConfig) withDefaults() UpstreamConfig {
	if c.Slots == 0 {
		c.Slots = 3
	}
	if c.QueueCapacity == 0 {
		c.QueueCapacity = 1
	}
	if c.MaxConnections == 0 {
		c.MaxConnections = 330
	}
	if c.MeanServiceTime == 0 {
		c.MeanServiceTime = 20 * time.Millisecond
	}
	if c.Sigma == 0 {
		c.Sigma = 0.5
	}
	if c.ColdFactor == 0 {
		c.ColdFactor = 4
	}
	return c
}
