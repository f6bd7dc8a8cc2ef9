package cmd

import (
	"context"

	"savorystep/entry"
)

// A limitedSender sends at most as many requests at once as slots has room for. Further
// ones wait.
type limitedSender struct {
	entry.Sender
	slots chan struct{}
}

// Send sends the request once it has a slot.
func (s limitedSender) Send(ctx context.Context, request entry.Request) (*entry.Response, error) {
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
	defer func() { <-s.slots }()
	return s.Sender.Send(ctx, request)
}
