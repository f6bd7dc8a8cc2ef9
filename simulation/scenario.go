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

// An EventKind says what an event does to the fleet.
type EventKind string

// The kinds of events.
const (
	// EventBurst multiplies the request rate by Factor.
	EventBurst EventKind = "burst"
	// EventCold makes endpoints cold and empties their caches.
	EventCold EventKind = "cold"
	// EventPartition partitions instances from all others.
	EventPartition EventKind = "cut"
	// EventClose makes endpoints reject requests for its duration and state for how long
	// they want none: Factor seconds, to each instance.
	EventClose EventKind = "close"
	// EventDown stops endpoints, which are cold when they start again.
	EventDown EventKind = "down"
	// EventDrain makes endpoints leave. They stop for good when it ends.
	EventDrain EventKind = "drain"
	// EventFail makes endpoints answer the fraction Factor of the requests that they
	// run with an error.
	EventFail EventKind = "fail"
	// EventFreeze keeps instances from running.
	EventFreeze EventKind = "freeze"
	// EventLeave makes endpoints say in their responses that they leave, while the
	// endpoint list has them as before.
	EventLeave EventKind = "leave"
	// EventRateLimit makes endpoints state a rate limit of Factor requests per second
	// in their responses. It replaces an earlier one.
	EventRateLimit EventKind = "limit"
	// EventRestart restarts instances under new ids.
	EventRestart EventKind = "restart"
	// EventSlow multiplies the time that endpoints take for a request by Factor.
	EventSlow EventKind = "slow"
	// EventUnlist removes endpoints from the endpoint list, although they run.
	EventUnlist EventKind = "unlist"
)

// EventKinds returns all kinds of events.
func EventKinds() []EventKind {
	return []EventKind{
		EventBurst, EventClose, EventCold, EventPartition, EventDown, EventDrain, EventFail, EventFreeze, EventLeave, EventRateLimit, EventRestart, EventSlow, EventUnlist,
	}
}

// An Event is a change of the load or a fault during a run.
type Event struct {
	// Start is the time since the start of the run. Duration is zero for an event
	// that does not end; EventCold and EventRestart need none.
	Start, Duration time.Duration
	Kind            EventKind
	// Share is the fraction of the instances or endpoints that the event affects.
	Share float64
	// Factor is the factor of EventBurst and EventSlow, the fraction of EventFail, the
	// rate of EventRateLimit and the seconds of EventClose.
	Factor float64
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
	// IgnoresNotices makes instances ignore what endpoints say about further requests.
	// It shows that the checks of it can fail.
	IgnoresNotices bool
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
