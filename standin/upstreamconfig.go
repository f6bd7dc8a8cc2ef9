package standin

import (
	"net/http"
	"time"

	"savorystep"
)

// An UpstreamConfig configures an Upstream. Zero values take the defaults
// given with the fields.
type UpstreamConfig struct {
	ID      savorystep.EndpointID
	Service savorystep.Service
	// Slots is how many requests run at the same time; 3 by default.
	Slots savorystep.Slots
	// QueueCapacity is how many requests may wait for a slot; 1 by default, none if
	// negative. Requests beyond it are shed.
	QueueCapacity int
	// MaxConnections is how many connections are accepted; 330 by default.
	MaxConnections int
	// MeanServiceTime is the mean service time; 20 ms by default, none if negative.
	MeanServiceTime time.Duration
	// Sigma is the standard deviation of the logarithm of the service time;
	// 0.5 by default.
	Sigma float64
	// Seed fixes the sequence of service times.
	Seed uint64
	// Latency is added to each request once on the way in and once on the way
	// out.
	Latency time.Duration
	// ConnectCost is added to the first request of each connection.
	ConnectCost time.Duration
	// WarmupRequests is how many requests a cold endpoint takes to become warm;
	// 0 means that it starts warm.
	WarmupRequests int
	// ColdFactor multiplies the service time of the first request after a cold
	// start and falls to 1 with each request; 4 by default.
	ColdFactor float64
	// Observe, if not nil, is called when a request begins and ends to run.
	Observe func(r *http.Request, running bool)
	// Exit ends the process in a crash. If it is nil, a crash closes the
	// listener and all its connections.
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
