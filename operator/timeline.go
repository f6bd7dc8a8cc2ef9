package operator

import (
	"cmp"
	"context"
	"net/http"
	"net/url"
	"slices"
	"sync"

	"golang.org/x/sync/errgroup"

	"savorystep"
)

// maxTimelineCalls bounds the instances that are asked at the same time.
const maxTimelineCalls = 32

// A Timeline holds the events of all instances that could be reached.
type Timeline struct {
	// Events are in causal order.
	Events []savorystep.Event `json:"events"`
	// Instances are those that answered, in order of place and ID.
	Instances []savorystep.Instance `json:"instances"`
	// Missing are the instances whose events could not be had.
	Missing []MissingInstance `json:"missing,omitempty"`
}

// A MissingInstance is an instance that did not answer.
type MissingInstance struct {
	Instance savorystep.Instance `json:"instance"`
	Reason   string              `json:"reason"`
}

// Timeline collects the events of all instances that one server lists as
// members.
func (c *Client) Timeline(ctx context.Context, filter EventFilter) (*Timeline, error) {
	status, err := c.Status(ctx)
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	timeline := &Timeline{Events: []savorystep.Event{}, Instances: []savorystep.Instance{}}
	group := &errgroup.Group{}
	group.SetLimit(maxTimelineCalls)
	for _, instance := range c.instances(status) {
		group.Go(func() error {
			list, err := c.instanceEvents(ctx, instance, filter)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				timeline.Missing = append(timeline.Missing, MissingInstance{Instance: instance, Reason: err.Error()})
				return nil
			}
			timeline.Instances = append(timeline.Instances, instance)
			timeline.Events = append(timeline.Events, list.Events...)
			return nil
		})
	}
	_ = group.Wait() // The functions of the group return no error.
	timeline.sort()
	return timeline, nil
}

// sort brings the parts of a timeline in order and drops repeated events.
func (t *Timeline) sort() {
	slices.SortFunc(t.Events, CompareEvents)
	t.Events = slices.CompactFunc(t.Events, func(a, b savorystep.Event) bool { return CompareEvents(a, b) == 0 })
	slices.SortFunc(t.Instances, compareInstances)
	slices.SortFunc(t.Missing, func(a, b MissingInstance) int { return compareInstances(a.Instance, b.Instance) })
}

// instances returns the members and the answering instance itself, which is
// not among them while it is cut off.
func (c *Client) instances(status *Status) []savorystep.Instance {
	list := []savorystep.Instance{status.Self}
	for _, member := range status.Members {
		if member.ID != status.Self.ID {
			list = append(list, member.Instance)
		}
	}
	slices.SortFunc(list, compareInstances)
	return list
}

// instanceEvents asks one instance for its events.
func (c *Client) instanceEvents(ctx context.Context, instance savorystep.Instance, filter EventFilter) (*EventList, error) {
	one := &Client{config: c.config, http: c.http, urls: []string{c.url(string(instance.OperatorAddress))}}
	return get[*EventList](ctx, one, "/v1/events", filter.query())
}

func (f EventFilter) query() url.Values {
	return url.Values{
		"kind": {string(f.Kind)}, "region": {string(f.Region)},
		"request": {string(f.Request)}, "service": {string(f.Service)},
	}
}

// openEvents opens the stream of one instance's events. The caller closes the
// body.
func (c *Client) openEvents(ctx context.Context, instance savorystep.Instance, filter EventFilter) (*http.Response, error) {
	query := filter.query()
	query.Set("follow", "true")
	return c.send(ctx, c.url(string(instance.OperatorAddress)), http.MethodGet, "/v1/events?"+query.Encode(), nil)
}

// compareInstances orders instances by place and ID.
func compareInstances(a, b savorystep.Instance) int {
	return cmp.Or(cmp.Compare(a.Place.Region, b.Place.Region), cmp.Compare(a.Place.Zone, b.Place.Zone), cmp.Compare(a.ID, b.ID))
}
