package simulation

import (
	"time"

	"savorystep"
)

// A Scenario is a fleet, its load and what happens to it.
type Scenario struct {
	Name string
	Seed uint64
	// Duration is how long requests arrive.
	Duration  time.Duration
	Regions   int
	Instances int
	// Endpoints is how many endpoints the service has, spread over the regions.
	Endpoints int
	Slots     savorystep.Slots
	// QueuePerSlot is how many requests an endpoint lets wait for each slot.
	QueuePerSlot float64
	// CacheSize is how many objects an endpoint keeps.
	CacheSize int
	// MeanWork is the mean time for an object that is not kept; one that is kept
	// takes KeptShare of it.
	MeanWork        time.Duration
	CachedWorkShare float64
	// Rate is the requests a second of all regions together, RateSwing its relative
	// change over a Period, which each region reaches at another time.
	Rate, RateSwing float64
	SwingPeriod     time.Duration
	Objects         int
	// TargetLatency is the time within which an answer is worth most, Deadline when the
	// caller leaves.
	TargetLatency, Deadline time.Duration
	// Limits are those of the deployment.
	Limits Limits
	Events []Event
}

// Limits are bounds on sums over all instances.
type Limits struct {
	// ColdRate, ColdFactor and ColdSlack bound the requests at a cold endpoint in
	// a second to ColdRate*ColdFactor+ColdSlack.
	ColdRate, ColdFactor, ColdSlack float64
	// RetryRatio, RetrySlack and RepeatWindow bound the repeats.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
}

// ColdBound returns the most requests at a cold endpoint in a second.
func (l Limits) ColdBound() float64 {
	return l.ColdRate*l.ColdFactor + l.ColdSlack
}

// An EventKind is what happens to a fleet.
type EventKind string

// The kinds of events.
const (
	// EventBurst multiplies the requests by X.
	EventBurst EventKind = "burst"
	// EventCold makes a share of the endpoints cold; they forget all objects.
	EventCold EventKind = "cold"
	// EventPartition keeps a share of the instances from hearing of others.
	EventPartition EventKind = "cut"
	// EventDown takes a share of the endpoints away; they return cold.
	EventDown EventKind = "down"
	// EventRestart starts a share of the instances again, under new names.
	EventRestart EventKind = "restart"
	// EventSlow makes a share of the endpoints X times slower.
	EventSlow EventKind = "slow"
)

// EventKinds returns all kinds of events.
func EventKinds() []EventKind {
	return []EventKind{EventBurst, EventCold, EventPartition, EventDown, EventRestart, EventSlow}
}

// An Event happens at a time and, where that fits, lasts for a time.
type Event struct {
	Start, Duration time.Duration
	Kind            EventKind
	// Share is the part of the instances or endpoints that it affects.
	Share float64
	// X is its strength.
	Factor float64
}

// A Policy is a way to decide that an experiment compares with others.
type Policy struct {
	Name string
	// Affinity sends requests for an object to its homes, and otherwise each
	// request to homes of its own.
	Affinity bool
	// RefusesLateRequests refuses a request at once that no endpoint answers in time.
	RefusesLateRequests bool
	// IgnoresPeers makes instances know nobody else, so that each uses a limit as if it
	// were the only one. It shows that checks of limits can fail.
	IgnoresPeers bool
}

// Policies returns the ways that an experiment compares, the product's first.
func Policies() []Policy {
	patient, scattered := DefaultPolicy(), DefaultPolicy()
	patient.Name, patient.RefusesLateRequests = "patient", false
	scattered.Name, scattered.Affinity = "scattered", false
	return []Policy{DefaultPolicy(), patient, scattered}
}

// DefaultPolicy returns the way in which the product decides.
func DefaultPolicy() Policy {
	return Policy{Name: "default", Affinity: true, RefusesLateRequests: true}
}
