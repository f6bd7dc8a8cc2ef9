package cmd

import (
	"time"

	"savorystep"
	"savorystep/entry"
)

// newDirectSender returns a sender straight to the endpoints of a service in a region.
func (s *site) newDirectSender(region savorystep.Region, service savorystep.Service) entry.Sender {
	var endpoints []savorystep.Endpoint
	for _, u := range s.upstreams {
		if u.endpoint.Service == service && u.endpoint.Place.Region == region {
			endpoints = append(endpoints, u.endpoint)
		}
	}
	return entry.NewDirectSender(entry.ClientConfig{
		Clock: savorystep.SystemClock{},
		Dial:  s.links.ClientDial(region),
	}, endpoints)
}

// hasFreeSlot reports whether a service has a free slot in any region.
func (s *site) hasFreeSlot(service savorystep.Service) bool {
	for _, shape := range s.config.Shape.Services {
		if shape.Service != service {
			continue
		}
		for _, region := range s.config.Shape.Regions {
			if s.probe.runningCount(service, region) < regionSlots(s.config.Shape, shape, region) {
				return true
			}
		}
	}
	return false
}

// countShedRequests returns how many requests all endpoints shed.
func (s *site) countShedRequests() int {
	sheds := 0
	for _, u := range s.upstreams {
		sheds += u.Stats().Shed
	}
	return sheds
}

// setDrainTimes takes the times of a drain from the probe.
func (r *loadReport) setDrainTimes(s *site) {
	if r.drainOrderedAt.IsZero() {
		return
	}
	var lastNew, idle time.Time
	for _, service := range s.config.Shape.Services {
		lastNew = laterTime(lastNew, s.probe.lastStart(service.Service, s.config.Shape.DrainedRegion))
		idle = laterTime(idle, s.probe.lastEnd(service.Service, s.config.Shape.DrainedRegion))
	}
	r.LastStart = float64(lastNew.Sub(r.drainOrderedAt).Milliseconds())
	r.LastEnd = float64(idle.Sub(r.drainOrderedAt).Milliseconds())
}

// laterTime returns the laterTime of two times.
func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
