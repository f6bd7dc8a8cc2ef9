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
	// followHold is how long a followed event is held back, so that events of
	// other instances that come before it can overtake it. It is a little more
	// than the interval at which instances look for new events and the way
	// between regions.
	followHold = 2 * followPoll
	// followRefresh is the interval at which the list of instances is renewed.
	followRefresh = 5 * time.Second
	// followSilence ends a stream without a line. Instances send at least an
	// empty line every followIdle.
	followSilence = 3 * followIdle
	// maxEventLine bounds one event in bytes.
	maxEventLine = 1 << 20
)

// A FollowUpdate is an event of a followed timeline, or an instance whose
// events stopped coming.
type FollowUpdate struct {
	Event   *savorystep.Event `json:"event,omitempty"`
	Missing *MissingInstance  `json:"missing,omitempty"`
}

// Follow calls emit for the kept events of all instances and then for new ones
// until ctx ends. Events that arrive in time come in causal order; an event
// that is delayed by more than 400 ms may come late. Instances that start
// while following join in.
func (c *Client) Follow(ctx context.Context, filter EventFilter, emit func(FollowUpdate)) error {
	status, err := c.Status(ctx)
	if err != nil {
		return err
	}
	f := &follower{client: c, filter: filter, updates: make(chan FollowUpdate), ended: make(chan savorystep.InstanceID), streams: map[savorystep.InstanceID]bool{}, last: map[savorystep.InstanceID]savorystep.Timestamp{}}
	ctx, cancel := context.WithCancel(ctx)
	defer func() {
		cancel()
		f.drain()
	}()
	f.join(ctx, status)
	flush := time.NewTicker(followHold / 4)
	defer flush.Stop()
	refresh := time.NewTicker(followRefresh)
	defer refresh.Stop()
	for {
		select {
		case <-ctx.Done():
			f.flush(emit, time.Time{})
			return nil
		case update := <-f.updates:
			f.add(update, emit)
		case id := <-f.ended:
			delete(f.streams, id)
		case now := <-flush.C:
			f.flush(emit, now.Add(-followHold))
		case <-refresh.C:
			if status, err := c.Status(ctx); err == nil {
				f.join(ctx, status)
			}
		}
	}
}

// A follower merges the streams of instances.
type follower struct {
	client  *Client
	filter  EventFilter
	updates chan FollowUpdate
	// ended receives the instance of each stream that ends.
	ended   chan savorystep.InstanceID
	streams map[savorystep.InstanceID]bool
	// last is the newest event taken from each instance. A stream that is
	// opened again repeats older ones.
	last map[savorystep.InstanceID]savorystep.Timestamp
	held []heldEvent
}

// A heldEvent waits for its turn.
type heldEvent struct {
	event   savorystep.Event
	arrived time.Time
}

// join opens streams to the instances that have none.
func (f *follower) join(ctx context.Context, status *Status) {
	for _, instance := range f.client.instances(status) {
		if f.streams[instance.ID] {
			continue
		}
		f.streams[instance.ID] = true
		go func() {
			err := f.stream(ctx, instance)
			if ctx.Err() == nil {
				f.send(ctx, FollowUpdate{Missing: &MissingInstance{Instance: instance, Reason: err.Error()}})
			}
			f.ended <- instance.ID
		}()
	}
}

// drain waits for the end of all streams.
func (f *follower) drain() {
	for len(f.streams) > 0 {
		delete(f.streams, <-f.ended)
	}
}

func (f *follower) send(ctx context.Context, update FollowUpdate) {
	select {
	case f.updates <- update:
	case <-ctx.Done():
	}
}

// stream passes on the events of one instance until its stream ends or is
// silent.
func (f *follower) stream(ctx context.Context, instance savorystep.Instance) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(followSilence, func() { cancel(errors.New("the instance is silent")) })
	defer silence.Stop()
	response, err := f.client.openEvents(ctx, instance, f.filter)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, maxEventLine)
	for lines.Scan() {
		silence.Reset(followSilence)
		line := bytes.TrimSpace(lines.Bytes())
		if len(line) == 0 {
			continue
		}
		var event savorystep.Event
		if err := json.Unmarshal(line, &event); err != nil {
			return err
		}
		f.send(ctx, FollowUpdate{Event: &event})
	}
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return errors.New("the instance ended the stream")
}

// add holds an event back, and passes on a missing instance at once.
func (f *follower) add(update FollowUpdate, emit func(FollowUpdate)) {
	if update.Event == nil {
		emit(update)
		return
	}
	event := *update.Event
	if compareStamps(event.Timestamp, f.last[event.Instance]) <= 0 {
		return
	}
	f.last[event.Instance] = event.Timestamp
	f.held = append(f.held, heldEvent{event: event, arrived: time.Now()})
}

// flush passes on events in causal order until one that arrived after a time;
// the zero time passes on all.
func (f *follower) flush(emit func(FollowUpdate), before time.Time) {
	slices.SortFunc(f.held, func(a, b heldEvent) int { return CompareEvents(a.event, b.event) })
	n := 0
	for n < len(f.held) && (before.IsZero() || f.held[n].arrived.Before(before)) {
		emit(FollowUpdate{Event: &f.held[n].event})
		n++
	}
	f.held = slices.Delete(f.held, 0, n)
}
