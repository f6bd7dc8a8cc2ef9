package ingress

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"savorystep"
)

// ProxyConfig configures a Proxy. Fields are required unless noted.
type ProxyConfig struct {
	// ResponseWriteTimeout is how long a caller may take to read its response, 30 s
	// by default.
	ResponseWriteTimeout time.Duration
	Clock                savorystep.Clock
	// MemoryLimitBytes is the memory limit of the process, zero for none.
	MemoryLimitBytes int64
	HeaderNames      savorystep.HeaderNames
	Place            savorystep.Place
	// Endings shares which endpoints have ended without notice with the other instances.
	Endings *Endings
	// Leavings shares which endpoints leave with the other instances.
	Leavings *Leavings
	// Notices decodes what responses of endpoints say about further requests.
	Notices savorystep.NoticeDecoder
	// Quarantine rejects requests that crashed several endpoints.
	Quarantine *Quarantine
	// RateLimits shares the rate limits of endpoints with the other instances.
	RateLimits *RateLimits
	// Registerer registers the metrics. It is optional.
	Registerer prometheus.Registerer
	Transport  Transport
	Router     *Router
	// WarmupChecker finds endpoints that started again before they refused a connection.
	// It is optional.
	WarmupChecker *WarmupChecker
}
