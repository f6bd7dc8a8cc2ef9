package ingress

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"savorystep"
)

// A Config configures a Front.
type Config struct {
	// AnswerWait is how long a caller may take to read its answer, 30 s by
	// default.
	AnswerWait time.Duration
	Clock      savorystep.Clock
	// Memory is the limit of the process in bytes, zero for none.
	Memory int64
	Names  savorystep.HeaderNames
	Place  savorystep.Place
	// Quarantine stops requests that kill endpoints.
	Quarantine *Quarantine
	// Registerer takes the metrics. It may be nil.
	Registerer prometheus.Registerer
	Sender     Sender
	Steering   *Steering
}
