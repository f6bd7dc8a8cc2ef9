package entry

import (
	"context"
	"sync/atomic"

	"savorystep"
)

// A DirectSender sends requests straight to endpoints of an upstream service, one
// after the other. Measurements compare the way through an entry with it.
type DirectSender struct {
	client    *Client
	endpoints []savorystep.Endpoint
	next      atomic.Uint64
}

// NewDirectSender returns a sender to the given endpoints. The configuration's seeds
// are not used.
func NewDirectSender(config ClientConfig, endpoints []savorystep.Endpoint) *DirectSender {
	return &DirectSender{client: NewClient(config), endpoints: endpoints}
}

// Send sends a request to the next endpoint, once.
func (d *DirectSender) Send(ctx context.Context, request Request) (*Response, error) {
	endpoint := d.endpoints[d.next.Add(1)%uint64(len(d.endpoints))]
	ctx, cancel := context.WithTimeout(ctx, max(request.Timeout, defaultTimeout))
	defer cancel()
	outgoing, err := d.client.newRequest(ctx, savorystep.Entry{Address: endpoint.Address}, &request)
	if err != nil {
		return nil, err
	}
	outgoing.URL.Path = request.Path
	response, err := d.client.exchange(ctx, outgoing, savorystep.Entry{Address: endpoint.Address}, nil)
	if err == nil && response.Header.Get(savorystep.HeaderShed) != "" {
		return nil, savorystep.NewError(savorystep.KindOverloaded, "endpoint %s shed the request", endpoint.ID)
	}
	return response, err
}
