package entry

import (
	"context"
	"sync/atomic"

	"savorystep"
)

// A DirectSender sends requests directly to the endpoints of a service in round-robin
// order, without an entry in between. It is the baseline for measurements of requests
// through entries.
type DirectSender struct {
	client    *Client
	endpoints []savorystep.Endpoint
	nextIndex atomic.Uint64
}

// NewDirectSender returns a sender to the given endpoints, of which there must be at least
// one. It does not use the seeds in config.
func NewDirectSender(config ClientConfig, endpoints []savorystep.Endpoint) *DirectSender {
	return &DirectSender{client: NewClient(config), endpoints: endpoints}
}

// Send sends a request to the next endpoint and does not retry it. The timeout is that of
// the request, but at least 10 s.
func (d *DirectSender) Send(ctx context.Context, request Request) (*Response, error) {
	endpoint := d.endpoints[d.nextIndex.Add(1)%uint64(len(d.endpoints))]
	ctx, cancel := context.WithTimeout(ctx, max(request.Timeout, defaultTimeout))
	defer cancel()
	outgoing, err := d.client.newHTTPRequest(ctx, savorystep.Entry{Address: endpoint.Address}, &request)
	if err != nil {
		return nil, err
	}
	outgoing.URL.Path = request.Path
	response, err := d.client.roundTrip(ctx, outgoing, savorystep.Entry{Address: endpoint.Address}, nil)
	if err == nil && response.Header.Get(savorystep.HeaderShed) != "" {
		return nil, savorystep.NewError(savorystep.KindOverloaded, "endpoint %s shed the request", endpoint.ID)
	}
	return response, err
}
