package ingress

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"savorystep"
)

// A ProxyConfig configures a Front.
type ProxyConfig struct {
	// ResponseWriteTimeout is how long a caller may take to read its answer, 30 s by
	// default.
	ResponseWriteTimeout time.Duration
	Clock                savorystep.Clock
	// MemoryLimitBytes is the limit of the process in bytes, zero for none.
	MemoryLimitBytes int64
	HeaderNames      savorystep.HeaderNames
	Place            savorystep.Place
	// Quarantine stops requests that kill endpoints.
	Quarantine *Quarantine
	// Registerer takes the metrics. It may be nil.
	Registerer prometheus.Registerer
	Transport  Transport
	Router     *Router
}
