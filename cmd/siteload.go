package cmd

import (
	"time"

	"savorystep"
	"savorystep/entry"
)

// newDirectSender returns a sender that sends requests directly to the endpoints of a
// service in a region, without an entry.
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

// countShedRequests returns the number of requests that the endpoints have shed.
func (s *site) countShedRequests() int {
	count := 0
	for _, u := range s.upstreams {
		count += u.Stats().Shed
	}
	return count
}

// setDrainTimes sets LastStart and LastEnd from the measurements of the probe if a
// drain was requested.
func (r *loadReport) setDrainTimes(s *site) {
	if r.drainRequestedAt.IsZero() {
		return
	}
	var lastStart, lastEnd time.Time
	for _, service := range s.config.Shape.Services {
		lastStart = laterTime(lastStart, s.probe.lastStart(service.Service, s.config.Shape.DrainedRegion))
		lastEnd = laterTime(lastEnd, s.probe.lastEnd(service.Service, s.config.Shape.DrainedRegion))
	}
	r.LastStart = float64(lastStart.Sub(r.drainRequestedAt).Milliseconds())
	r.LastEnd = float64(lastEnd.Sub(r.drainRequestedAt).Milliseconds())
}

// laterTime returns the later of two times.
func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
