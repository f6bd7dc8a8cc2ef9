package simulation

import (
	"time"

	"savorystep"
)

// A Scenario describes a fleet, its load and the events of a run.
type Scenario struct {
	Name string
	Seed uint64
	// Duration is how long requests arrive.
	Duration  time.Duration
	Regions   int
	Instances int
	// Endpoints is the number of endpoints of the service, spread over the regions.
	Endpoints int
	Slots     savorystep.Slots
	// QueuePerSlot is the number of requests for each slot that an endpoint queues
	// before it sheds requests.
	QueuePerSlot float64
	// CacheSize is the number of objects that an endpoint caches.
	CacheSize int
	// MeanWork is the mean time to run a request for an uncached object. A cached
	// object takes the fraction CachedWorkShare of it.
	MeanWork        time.Duration
	CachedWorkShare float64
	// Rate is the mean number of requests per second from all regions together. The
	// rate of a region varies by the fraction RateSwing in a sine wave with a period
	// of SwingPeriod, with another phase in each region.
	Rate, RateSwing float64
	SwingPeriod     time.Duration
	// Objects is the number of objects that are requested, with equal probability.
	Objects int
	// HasLargeBodies makes the requests prefer endpoints nearby.
	HasLargeBodies bool
	// TargetLatency is the latency up to which an answered request is in target.
	// Deadline is how long a caller waits.
	TargetLatency, Deadline time.Duration
	// Limits are the limits of the fleet.
	Limits Limits
	Events []Event
}

// Limits are limits for all instances together.
type Limits struct {
	// ColdRate, ColdFactor and ColdSlack limit the requests that a cold endpoint gets
	// in a second to ColdRate*ColdFactor+ColdSlack.
	ColdRate, ColdFactor, ColdSlack float64
	// RetryRatio and RetrySlack limit the retries in a window of RetryWindow to
	// RetryRatio times the requests plus RetrySlack.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
}

// ColdBound returns the number of requests that a cold endpoint may get in a
// second.
func (l Limits) ColdBound() float64 {
	return l.ColdRate*l.ColdFactor + l.ColdSlack
}

// A Policy says how instances choose endpoints. Experiments compare policies.
type Policy struct {
	Name string
	// Affinity chooses endpoints by the object of a request, so that its requests go
	// to its affinity endpoints. Without it each request has a random key.
	Affinity bool
	// RefusesLateRequests refuses a request immediately if no endpoint is expected
	// to respond before its deadline.
	RefusesLateRequests bool
	// IgnoresPeers makes each instance use the limits as if it were the only one. It
	// shows that the checks of the limits can fail.
	IgnoresPeers bool
	// IgnoresStandstills makes instances go on after a standstill as if they had not stood
	// still. It shows that the check of it can fail.
	IgnoresStandstills bool
	// IgnoresNotices makes instances ignore what endpoints say about further requests.
	// It shows that the checks of it can fail.
	IgnoresNotices bool
	// IgnoresEndings makes instances go on as if they had not found that an endpoint has
	// ended, nor heard of it. It shows that the check of it can fail.
	IgnoresEndings bool
	// IgnoresWarmups makes instances not ask endpoints for how long they are cold. It shows
	// that the check of it can fail.
	IgnoresWarmups bool
}

// Policies returns the policies that an experiment compares, the default policy
// first.
func Policies() []Policy {
	patient, scattered := DefaultPolicy(), DefaultPolicy()
	patient.Name, patient.RefusesLateRequests = "patient", false
	scattered.Name, scattered.Affinity = "scattered", false
	return []Policy{DefaultPolicy(), patient, scattered}
}

// DefaultPolicy returns the policy of the gateway.
func DefaultPolicy() Policy {
	return Policy{Name: "default", Affinity: true, RefusesLateRequests: true}
}
