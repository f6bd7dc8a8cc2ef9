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

// maxConcurrentCalls bounds the concurrent requests for events, one for each instance.
const maxConcurrentCalls = 32

// A Timeline is the merged events of all instances that responded.
type Timeline struct {
	// Events are in causal order.
	Events []savorystep.Event `json:"events"`
	// Instances are the instances that responded, ordered by place and ID.
	Instances []savorystep.Instance `json:"instances"`
	// Missing are the instances that did not respond.
	Missing []MissingInstance `json:"missing,omitempty"`
}

// A MissingInstance is an instance whose events could not be fetched, with the reason.
type MissingInstance struct {
	Instance savorystep.Instance `json:"instance"`
	Reason   string              `json:"reason"`
}

// Timeline fetches and merges the events that match a filter from all instances in the
// status of one server. Instances that fail are listed as missing; the error is that of
// the status.
func (c *Client) Timeline(ctx context.Context, filter EventFilter) (*Timeline, error) {
	status, err := c.Status(ctx)
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	timeline := &Timeline{Events: []savorystep.Event{}, Instances: []savorystep.Instance{}}
	group := &errgroup.Group{}
	group.SetLimit(maxConcurrentCalls)
	for _, instance := range c.listInstances(status) {
		group.Go(func() error {
			list, err := c.fetchEvents(ctx, instance, filter)
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

// sort orders the parts of the timeline and removes duplicate events.
func (t *Timeline) sort() {
	slices.SortFunc(t.Events, CompareEvents)
	t.Events = slices.CompactFunc(t.Events, func(a, b savorystep.Event) bool { return CompareEvents(a, b) == 0 })
	slices.SortFunc(t.Instances, compareInstances)
	slices.SortFunc(t.Missing, func(a, b MissingInstance) int { return compareInstances(a.Instance, b.Instance) })
}

// listInstances returns the members of a status and the instance that answered, which
// may not be among them, ordered by place and ID.
func (c *Client) listInstances(status *Status) []savorystep.Instance {
	list := []savorystep.Instance{status.Self}
	for _, member := range status.Members {
		if member.ID != status.Self.ID {
			list = append(list, member.Instance)
		}
	}
	slices.SortFunc(list, compareInstances)
	return list
}

// fetchEvents returns the events of one instance.
func (c *Client) fetchEvents(ctx context.Context, instance savorystep.Instance, filter EventFilter) (*EventList, error) {
	instanceClient := &Client{config: c.config, httpClient: c.httpClient, baseURLs: []string{c.baseURL(string(instance.OperatorAddress))}}
	return getJSON[*EventList](ctx, instanceClient, "/v1/events", filter.query())
}

func (f EventFilter) query() url.Values {
	return url.Values{
		"kind": {string(f.Kind)}, "region": {string(f.Region)},
		"request": {string(f.Request)}, "service": {string(f.Service)},
	}
}

// openEventStream requests the event stream of one instance. The caller closes the body
// of the response.
func (c *Client) openEventStream(ctx context.Context, instance savorystep.Instance, filter EventFilter) (*http.Response, error) {
	query := filter.query()
	query.Set("follow", "true")
	return c.send(ctx, c.baseURL(string(instance.OperatorAddress)), http.MethodGet, "/v1/events?"+query.Encode(), nil)
}

// compareInstances orders instances by place and ID.
func compareInstances(a, b savorystep.Instance) int {
	return cmp.Or(cmp.Compare(a.Place.Region, b.Place.Region), cmp.Compare(a.Place.Zone, b.Place.Zone), cmp.Compare(a.ID, b.ID))
}
