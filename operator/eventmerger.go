package operator

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"savorystep"
)

const (
	// reorderDelay is the time for which an event is buffered, so that causally
	// earlier events of other instances can still be sorted before it. It covers the
	// interval at which instances check for new events and the network latency
	// between regions.
	reorderDelay = 2 * eventPollInterval
	// memberRefreshInterval is the interval at which the list of members is fetched
	// again.
	memberRefreshInterval = 5 * time.Second
	// streamSilenceTimeout is the time without a line after which a stream is closed.
	// Instances send at least an empty line every keepAliveInterval.
	streamSilenceTimeout = 3 * keepAliveInterval
	// maxEventLineBytes bounds the JSON line of one event.
	maxEventLineBytes = 1 << 20
)

// A FollowUpdate is either an event of a followed timeline, or an instance whose event
// stream could not be opened or ended.
type FollowUpdate struct {
	Event   *savorystep.Event `json:"event,omitempty"`
	Missing *MissingInstance  `json:"missing,omitempty"`
}

// Follow calls emit for the recorded events of all instances and then for new ones
// until ctx ends. Events are in causal order, except that an event which arrives more
// than 400 ms after a causally later one may come after it. Instances that start while
// following are included.
func (c *Client) Follow(ctx context.Context, filter EventFilter, emit func(FollowUpdate)) error {
	status, err := c.Status(ctx)
	if err != nil {
		return err
	}
	merger := &eventMerger{client: c, filter: filter, updates: make(chan FollowUpdate), endedStreams: make(chan savorystep.InstanceID), streams: map[savorystep.InstanceID]bool{}, lastTimestamps: map[savorystep.InstanceID]savorystep.Timestamp{}}
	ctx, cancel := context.WithCancel(ctx)
	defer func() {
		cancel()
		merger.waitForStreams()
	}()
	merger.startStreams(ctx, status)
	flushTicker := time.NewTicker(reorderDelay / 4)
	defer flushTicker.Stop()
	refreshTicker := time.NewTicker(memberRefreshInterval)
	defer refreshTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			merger.flush(emit, time.Time{})
			return nil
		case update := <-merger.updates:
			merger.handleUpdate(update, emit)
		case id := <-merger.endedStreams:
			delete(merger.streams, id)
		case now := <-flushTicker.C:
			merger.flush(emit, now.Add(-reorderDelay))
		case <-refreshTicker.C:
			if status, err := c.Status(ctx); err == nil {
				merger.startStreams(ctx, status)
			}
		}
	}
}

// An eventMerger merges the event streams of instances in causal order.
type eventMerger struct {
	client  *Client
	filter  EventFilter
	updates chan FollowUpdate
	// endedStreams receives the instance ID of each stream that ends.
	endedStreams chan savorystep.InstanceID
	// streams contains the instances with a running stream.
	streams map[savorystep.InstanceID]bool
	// lastTimestamps holds the timestamp of the newest event of each instance. A stream
	// that is reopened repeats older events, which are dropped.
	lastTimestamps map[savorystep.InstanceID]savorystep.Timestamp
	buffered       []bufferedEvent
}

// A bufferedEvent is an event that is buffered for reorderDelay.
type bufferedEvent struct {
	event     savorystep.Event
	arrivedAt time.Time
}

// startStreams starts a goroutine with a stream for each instance that has none.
func (m *eventMerger) startStreams(ctx context.Context, status *Status) {
	for _, instance := range m.client.listInstances(status) {
		if m.streams[instance.ID] {
			continue
		}
		m.streams[instance.ID] = true
		go func() {
			err := m.readStream(ctx, instance)
			if ctx.Err() == nil {
				m.sendUpdate(ctx, FollowUpdate{Missing: &MissingInstance{Instance: instance, Reason: err.Error()}})
			}
			m.endedStreams <- instance.ID
		}()
	}
}

// waitForStreams waits until all streams have ended.
func (m *eventMerger) waitForStreams() {
	for len(m.streams) > 0 {
		delete(m.streams, <-m.endedStreams)
	}
}

func (m *eventMerger) sendUpdate(ctx context.Context, update FollowUpdate) {
	select {
	case m.updates <- update:
	case <-ctx.Done():
	}
}

// readStream sends the events of one instance to updates until its stream ends or has no
// line for streamSilenceTimeout. The error is never nil.
func (m *eventMerger) readStream(ctx context.Context, instance savorystep.Instance) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silenceTimer := time.AfterFunc(streamSilenceTimeout, func() { cancel(errors.New("no data on the event stream before the timeout")) })
	defer silenceTimer.Stop()
	response, err := m.client.openEventStream(ctx, instance, m.filter)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, maxEventLineBytes)
	for lines.Scan() {
		silenceTimer.Reset(streamSilenceTimeout)
		line := bytes.TrimSpace(lines.Bytes())
		if len(line) == 0 {
			continue
		}
		var event savorystep.Event
		if err := json.Unmarshal(line, &event); err != nil {
			return err
		}
		m.sendUpdate(ctx, FollowUpdate{Event: &event})
	}
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return errors.New("the instance ended the stream")
}

// handleUpdate buffers a new event, and emits a missing instance at once.
func (m *eventMerger) handleUpdate(update FollowUpdate, emit func(FollowUpdate)) {
	if update.Event == nil {
		emit(update)
		return
	}
	event := *update.Event
	if compareTimestamps(event.Timestamp, m.lastTimestamps[event.Instance]) <= 0 {
		return
	}
	m.lastTimestamps[event.Instance] = event.Timestamp
	m.buffered = append(m.buffered, bufferedEvent{event: event, arrivedAt: time.Now()})
}

// flush emits buffered events in causal order and stops at the first one that did not
// arrive before the given time. The zero time means all events.
func (m *eventMerger) flush(emit func(FollowUpdate), arrivedBefore time.Time) {
	slices.SortFunc(m.buffered, func(a, b bufferedEvent) int { return CompareEvents(a.event, b.event) })
	n := 0
	for n < len(m.buffered) && (arrivedBefore.IsZero() || m.buffered[n].arrivedAt.Before(arrivedBefore)) {
		emit(FollowUpdate{Event: &m.buffered[n].event})
		n++
	}
	m.buffered = slices.Delete(m.buffered, 0, n)
}
