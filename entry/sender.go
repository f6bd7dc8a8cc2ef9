package entry

import "context"

// A Sender sends requests.
type Sender interface {
	// Send sends a request and returns the complete response.
	Send(ctx context.Context, request Request) (*Response, error)
}

var (
	_ Sender = &Client{}
	_ Sender = &DirectSender{}
)
