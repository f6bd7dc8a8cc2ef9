package simulation

import (
	"math"
	"time"

	"savorystep"
)

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
	// EventCrash ends endpoints without notice: the requests that they run break off at
	// once, and the endpoint list keeps their entries for entryTTL. They start again under
	// their ids, cold.
	EventCrash EventKind = "crash"
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
	// EventOutage keeps instances from reading changes of the endpoint list. Those that
	// are restarted meanwhile read the list as it was before.
	EventOutage EventKind = "outage"
	// EventRateLimit makes endpoints state a rate limit of Factor requests per second
	// in their responses. It replaces an earlier one.
	EventRateLimit EventKind = "limit"
	// EventRestart restarts instances under new ids.
	EventRestart EventKind = "restart"
	// EventSlow multiplies the time that endpoints take for a request by Factor.
	EventSlow EventKind = "slow"
	// EventStop stops instances: they finish what they have and get no requests, and are
	// started under new ids at its end.
	EventStop EventKind = "stop"
	// EventUnlist removes endpoints from the endpoint list, although they run.
	EventUnlist EventKind = "unlist"
)

// EventKinds returns all kinds of events.
func EventKinds() []EventKind {
	return []EventKind{
		EventBurst, EventClose, EventCold, EventCrash, EventPartition, EventDown, EventDrain, EventFail, EventFreeze, EventLeave, EventOutage, EventRateLimit, EventRestart, EventSlow, EventStop, EventUnlist,
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

// startEvent starts an event and schedules its end if it has a duration.
func (f *fleet) startEvent(event Event) {
	instances := f.instances[:int(math.Ceil(event.Share*float64(len(f.instances))))]
	endpoints := f.endpoints[:int(math.Ceil(event.Share*float64(len(f.endpoints))))]
	switch event.Kind {
	case EventBurst:
		f.rateFactor = event.Factor
	case EventFreeze, EventOutage, EventPartition, EventRestart, EventStop:
		f.startInstanceEvent(event, instances)
	default:
		for _, e := range endpoints {
			f.startEndpointEvent(event, e)
		}
	}
	if event.Duration > 0 {
		f.scheduler.after(event.Duration, func() { f.endEvent(event.Kind, instances, endpoints) })
	}
}

// startInstanceEvent starts an event for the instances that it affects.
func (f *fleet) startInstanceEvent(event Event, instances []*instance) {
	var list []savorystep.Endpoint
	if event.Kind == EventOutage {
		list = f.listEndpoints()
	}
	for n, i := range instances {
		switch event.Kind {
		case EventFreeze:
			i.frozenUntil = f.scheduler.now + event.Duration
			for _, e := range f.endpoints {
				e.notices.delay(f.scheduler.now, i)
			}
		case EventOutage:
			i.staleList = list
		case EventStop:
			i.isStopping = true
		case EventPartition:
			i.isPartitioned = true
		default:
			f.restart(n, i)
		}
	}
}

// restart starts an instance under a new id. The others see it after membershipDelay.
func (f *fleet) restart(number int, i *instance) {
	i.start(number, f.scenario.Limits)
	i.isPartitioned = true
	for _, e := range f.endpoints {
		e.rateLimit.forget(i)
		e.notices.forget(i)
	}
	f.readEndpointList(i)
	f.scheduler.after(membershipDelay, func() { i.isPartitioned = false })
}

// startEndpointEvent starts an event for an endpoint that it affects.
func (f *fleet) startEndpointEvent(event Event, e *simulatedEndpoint) {
	switch event.Kind {
	case EventCold:
		e.becomeCold(listPeriod)
	case EventCrash:
		e.crash()
	case EventDown:
		e.goDown()
	case EventDrain:
		e.State = savorystep.StateLeaving
	case EventFail:
		e.failShare = event.Factor
	case EventClose:
		e.retryAfter = time.Duration(event.Factor * float64(time.Second))
	case EventLeave:
		e.isLeaving = true
	case EventRateLimit:
		e.rateLimit.set(f.scheduler.now, savorystep.RequestsPerSecond(event.Factor))
	case EventSlow:
		e.slowFactor = event.Factor
	case EventUnlist:
		e.isUnlisted = true
	default:
	}
}

// endEvent ends an event for the instances and endpoints that it affects.
func (f *fleet) endEvent(kind EventKind, instances []*instance, endpoints []*simulatedEndpoint) {
	switch kind {
	case EventBurst:
		f.rateFactor = 1
	case EventPartition:
		for _, i := range instances {
			i.isPartitioned = false
		}
	case EventOutage:
		for _, i := range instances {
			i.staleList = nil
		}
	case EventStop:
		for n, i := range instances {
			i.isStopping = false
			f.restart(n, i)
		}
	default:
		for _, e := range endpoints {
			f.endEndpointEvent(kind, e)
		}
	}
}

// endEndpointEvent ends an event for an endpoint that it affects.
func (f *fleet) endEndpointEvent(kind EventKind, e *simulatedEndpoint) {
	switch kind {
	case EventCrash, EventDown:
		e.isDown = false
		e.entryUntil = 0
		e.StartedAtMillis++
		e.ReportSequence = 0
		e.becomeCold(0)
	case EventDrain:
		e.goDown()
	case EventFail:
		e.failShare = 0
	case EventClose:
		e.retryAfter = 0
	case EventLeave:
		e.goDown()
	case EventRateLimit:
		e.rateLimit.end(f.scheduler.now)
	case EventSlow:
		e.slowFactor = 1
	case EventUnlist:
		e.isUnlisted = false
	default:
	}
}
