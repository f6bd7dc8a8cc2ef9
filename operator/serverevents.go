package operator

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"savorystep"
)

const (
	// eventPollInterval is the interval at which a stream checks for new events.
	eventPollInterval = 200 * time.Millisecond
	// keepAliveInterval is the time without events after which a stream sends an
	// empty line, so that a client can tell an idle instance from a lost one.
	keepAliveInterval = 2 * time.Second
)

// An EventFilter selects events by the fields that are not empty.
type EventFilter struct {
	Kind    savorystep.EventKind
	Region  savorystep.Region
	Request savorystep.RequestID
	Service savorystep.Service
}

// Match reports whether the filter selects an event.
func (f EventFilter) Match(event savorystep.Event) bool {
	return (f.Kind == "" || f.Kind == event.Kind) &&
		(f.Region == "" || f.Region == event.Region) &&
		(f.Request == "" || f.Request == event.Request) &&
		(f.Service == "" || f.Service == event.Service)
}

// CompareEvents orders events by the timestamp of the hybrid logical clock, which is
// consistent with causality, and events with the same timestamp by instance ID.
func CompareEvents(a, b savorystep.Event) int {
	return cmp.Or(compareTimestamps(a.Timestamp, b.Timestamp), cmp.Compare(a.Instance, b.Instance))
}

func compareTimestamps(a, b savorystep.Timestamp) int {
	return cmp.Or(cmp.Compare(a.Wall, b.Wall), cmp.Compare(a.Logical, b.Logical))
}

// getEvents responds with the events of this instance. With follow=true in the query
// it responds with an endless stream of one JSON event per line.
func (s *server) getEvents(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	filter := EventFilter{
		Kind:    savorystep.EventKind(query.Get("kind")),
		Region:  savorystep.Region(query.Get("region")),
		Request: savorystep.RequestID(query.Get("request")),
		Service: savorystep.Service(query.Get("service")),
	}
	if follow, _ := strconv.ParseBool(query.Get("follow")); follow {
		s.requests.WithLabelValues("/v1/events?follow", savorystep.KindNone.String()).Inc()
		s.followEvents(w, r, filter)
		return
	}
	s.jsonHandler(func(*http.Request) (any, error) {
		return EventList{Instance: s.Self, Events: s.eventsAfter(savorystep.Timestamp{}, filter)}, nil
	})(w, r)
}

// eventsAfter returns the events after a timestamp that match a filter.
func (s *server) eventsAfter(timestamp savorystep.Timestamp, filter EventFilter) []savorystep.Event {
	events := s.Recorder.Events()
	first, _ := slices.BinarySearchFunc(events, timestamp, func(e savorystep.Event, target savorystep.Timestamp) int {
		if compareTimestamps(e.Timestamp, target) <= 0 {
			return -1
		}
		return 1
	})
	matching := []savorystep.Event{}
	for _, event := range events[first:] {
		if filter.Match(event) {
			matching = append(matching, event)
		}
	}
	return matching
}

// followEvents streams the events that match a filter until the client disconnects or
// the instance shuts down.
func (s *server) followEvents(w http.ResponseWriter, r *http.Request, filter EventFilter) {
	controller := http.NewResponseController(w)
	// The stream has no end, so the write timeout of the server must not apply to it.
	// The error is ignored because a writer without deadlines has no timeout either.
	_ = controller.SetWriteDeadline(time.Time{})
	w.Header().Set("Content-Type", "application/x-ndjson")
	encoder := json.NewEncoder(w)
	ticker := time.NewTicker(eventPollInterval)
	defer ticker.Stop()
	var lastSent savorystep.Timestamp
	// The first iteration sends a line even without events, so that the client learns
	// at once that the stream is open.
	sinceLastWrite := keepAliveInterval
	for {
		events := s.eventsAfter(lastSent, filter)
		for _, event := range events {
			if encoder.Encode(event) != nil {
				return
			}
			lastSent = event.Timestamp
		}
		if len(events) == 0 && sinceLastWrite >= keepAliveInterval {
			if _, err := w.Write([]byte("\n")); err != nil {
				return
			}
		}
		if len(events) > 0 || sinceLastWrite >= keepAliveInterval {
			sinceLastWrite = 0
			if controller.Flush() != nil {
				return
			}
		}
		select {
		case <-r.Context().Done():
			return
		case <-s.Shutdown:
			return
		case <-ticker.C:
			sinceLastWrite += eventPollInterval
		}
	}
}
