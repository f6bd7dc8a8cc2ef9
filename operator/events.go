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
	// followPoll is the interval at which a stream looks for new events.
	followPoll = 200 * time.Millisecond
	// followIdle is the longest silence of a stream. An empty line is sent
	// then, so that a client can tell a quiet instance from a lost one.
	followIdle = 2 * time.Second
)

// An EventFilter selects events. Empty fields select all.
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

// CompareEvents orders events causally: by hybrid logical clock, and events
// that did not cause each other by instance.
func CompareEvents(a, b savorystep.Event) int {
	return cmp.Or(compareStamps(a.Timestamp, b.Timestamp), cmp.Compare(a.Instance, b.Instance))
}

func compareStamps(a, b savorystep.Timestamp) int {
	return cmp.Or(cmp.Compare(a.Wall, b.Wall), cmp.Compare(a.Logical, b.Logical))
}

// getEvents answers with the events of this instance, with follow=true as a
// stream of one JSON event per line.
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
	s.handle(func(*http.Request) (any, error) {
		return EventList{Instance: s.Self, Events: s.eventsAfter(savorystep.Timestamp{}, filter)}, nil
	})(w, r)
}

// eventsAfter returns the selected events after a stamp.
func (s *server) eventsAfter(after savorystep.Timestamp, filter EventFilter) []savorystep.Event {
	events := s.Recorder.Events()
	first, _ := slices.BinarySearchFunc(events, after, func(e savorystep.Event, stamp savorystep.Timestamp) int {
		if compareStamps(e.Timestamp, stamp) <= 0 {
			return -1
		}
		return 1
	})
	selected := []savorystep.Event{}
	for _, event := range events[first:] {
		if filter.Match(event) {
			selected = append(selected, event)
		}
	}
	return selected
}

func (s *server) followEvents(w http.ResponseWriter, r *http.Request, filter EventFilter) {
	controller := http.NewResponseController(w)
	// The stream has no end of its own, so the server's write timeout must not
	// cut it off. Writers without deadlines have none to lift.
	_ = controller.SetWriteDeadline(time.Time{})
	w.Header().Set("Content-Type", "application/x-ndjson")
	encoder := json.NewEncoder(w)
	ticker := time.NewTicker(followPoll)
	defer ticker.Stop()
	var last savorystep.Timestamp
	// The first line tells at once that the stream is open.
	idle := followIdle
	for {
		events := s.eventsAfter(last, filter)
		for _, event := range events {
			if encoder.Encode(event) != nil {
				return
			}
			last = event.Timestamp
		}
		if len(events) == 0 && idle >= followIdle {
			if _, err := w.Write([]byte("\n")); err != nil {
				return
			}
		}
		if len(events) > 0 || idle >= followIdle {
			idle = 0
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
			idle += followPoll
		}
	}
}
