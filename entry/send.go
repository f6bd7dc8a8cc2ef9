package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"savorystep"
)

// Send sends a request and returns the whole answer. It goes to another entry
// if the request did not run, or if running it twice does no harm. A request
// with a key keeps its key, so it runs at most once.
func (c *Client) Send(ctx context.Context, request Request) (*Response, error) {
	timeout := request.Timeout
	if timeout <= 0 {
		timeout = c.config.DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var failed failure
	for attempt := range max(1, c.config.MaxAttempts) {
		lookup, err := c.Lookup(ctx, request.Name)
		if err != nil {
			return nil, failed.with(err)
		}
		entry, ok := c.pick(lookup.Entries, attempt)
		if !ok {
			return nil, failed.with(savorystep.NewError(savorystep.KindNotReady, "no entry serves %s", request.Name))
		}
		response, err := c.sendTo(ctx, entry, &request)
		request.IsRepeat = true
		if err == nil {
			response.Attempts = attempt + 1
			return response, nil
		}
		failed.add(err)
		if isUnreachable(err) {
			c.avoid(entry.Address)
		}
		if !c.mayRepeat(&request, err) || !c.sleepWithin(ctx, c.delayOf(err)) {
			break
		}
	}
	return nil, failed.err()
}

// mayRepeat reports whether the request may be sent again after an error.
func (c *Client) mayRepeat(request *Request, err error) bool {
	kind := savorystep.KindOf(err)
	answer := kind.Info()
	if answer.Execution == savorystep.NotExecuted {
		return answer.Retryable
	}
	if kind == savorystep.KindOutcomeUnknown || kind == savorystep.KindDeadlineExceeded {
		return false
	}
	return request.repeatable()
}

// sendTo sends a request to one entry.
func (c *Client) sendTo(ctx context.Context, entry savorystep.Entry, request *Request) (*Response, error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	}
	outgoing, err := c.newRequest(httptrace.WithClientTrace(ctx, trace), entry, request)
	if err != nil {
		return nil, err
	}
	return c.exchange(ctx, outgoing, entry, &sent)
}

// exchange sends an HTTP request and reads the whole answer. sent says whether
// the request got a connection; nil stands for yes.
func (c *Client) exchange(
	ctx context.Context, outgoing *http.Request, entry savorystep.Entry, sent *atomic.Bool,
) (*Response, error) {
	response, err := c.http.Do(outgoing)
	if err != nil {
		return nil, sendError(ctx, err, entry, sent == nil || sent.Load())
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBody+1))
	if err != nil {
		return nil, sendError(ctx, err, entry, true)
	}
	if len(body) > maxBody {
		return nil, savorystep.NewError(savorystep.KindInternal, "the answer has more than %d bytes", maxBody)
	}
	if response.Header.Get(savorystep.HeaderKind) != "" {
		return nil, refusalError(response, body)
	}
	return &Response{Status: response.StatusCode, Header: response.Header, Body: body, Entry: entry}, nil
}

// newRequest makes the HTTP request for one attempt.
func (c *Client) newRequest(ctx context.Context, entry savorystep.Entry, request *Request) (*http.Request, error) {
	var body io.Reader = http.NoBody
	switch {
	case request.Body != nil:
		body = request.Body()
	case request.IdempotencyKey != "":
		// The transport repeats a keyed request without a body on its own,
		// marked as a first attempt; it can't repeat one with a reader.
		body = io.MultiReader()
	}
	target := fmt.Sprintf("http://%s/s/%s%s", entry.Address, request.Name, request.Path)
	outgoing, err := http.NewRequestWithContext(ctx, request.Method, target, body)
	if err != nil {
		return nil, savorystep.WrapError(savorystep.KindBadRequest, err, "the request can't be made")
	}
	if request.Body != nil {
		outgoing.ContentLength = request.BodyLength
		// Without this the transport sends a request again on its own when an
		// idle connection closes, which hides whether it was sent.
		outgoing.GetBody = nil
	}
	for name, values := range request.Header {
		outgoing.Header[name] = values
	}
	outgoing.Header.Set(savorystep.HeaderRequest, string(request.ID))
	if request.IdempotencyKey != "" {
		outgoing.Header.Set(savorystep.HeaderKey, string(request.IdempotencyKey))
		if !request.IsRepeat {
			outgoing.Header.Set(savorystep.HeaderAttempt, "1")
		}
	}
	if c.config.Origin != "" {
		outgoing.Header.Set(savorystep.HeaderFrom, c.config.Origin)
	}
	if deadline, ok := ctx.Deadline(); ok {
		left := max(1, deadline.Sub(c.config.Clock.Now()).Milliseconds())
		outgoing.Header.Set(savorystep.HeaderDeadline, strconv.FormatInt(left, 10))
	}
	return outgoing, nil
}

// sendError returns the error for an attempt that got no whole answer.
func sendError(ctx context.Context, err error, entry savorystep.Entry, sent bool) error {
	if !sent {
		return savorystep.WrapError(savorystep.KindNotReady, errors.Join(errUnreachable, err), "entry %s can't be reached", entry.Address)
	}
	if ctx.Err() != nil {
		return savorystep.WrapError(savorystep.KindDeadlineExceeded, err, "entry %s did not answer in time", entry.Address)
	}
	return savorystep.WrapError(savorystep.KindUpstreamFailed, err, "entry %s broke the connection off", entry.Address)
}

// sleepWithin waits and reports whether time is left for another attempt. It
// does not wait if the delay outlasts the request's deadline.
func (c *Client) sleepWithin(ctx context.Context, delay time.Duration) bool {
	if deadline, ok := ctx.Deadline(); ok && deadline.Sub(c.config.Clock.Now()) <= delay {
		return false
	}
	return savorystep.Sleep(ctx, delay)
}

// delayOf returns how long to wait before the next attempt.
func (c *Client) delayOf(err error) time.Duration {
	if c.config.IgnoreRetryDelay {
		return 0
	}
	var typed *savorystep.Error
	if !errors.As(err, &typed) {
		return 0
	}
	if typed.Cause != nil && typed.RetryDelay == 0 {
		// A connection error: another entry may work at once.
		return 0
	}
	return typed.RetryAfter()
}
