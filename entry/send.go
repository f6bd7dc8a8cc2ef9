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

// Send sends a request and returns the complete response. After a failed attempt it
// retries through another entry if the request was not executed or may safely be
// executed twice. All attempts of a request with an idempotency key have the same key,
// so it is executed at most once.
func (c *Client) Send(ctx context.Context, request Request) (*Response, error) {
	timeout := request.Timeout
	if timeout <= 0 {
		timeout = c.config.DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var attemptErrs attemptErrors
	for attempt := range max(1, c.config.MaxAttempts) {
		lookup, err := c.Lookup(ctx, request.Name)
		if err != nil {
			return nil, attemptErrs.finish(err)
		}
		entry, ok := c.pickEntry(lookup.Entries, attempt)
		if !ok {
			return nil, attemptErrs.finish(savorystep.NewError(savorystep.KindNotReady, "no entry for service %s is known", request.Name))
		}
		response, err := c.sendTo(ctx, entry, &request)
		request.IsRepeat = true
		if err == nil {
			response.Attempts = attempt + 1
			return response, nil
		}
		attemptErrs.add(err)
		if isUnreachable(err) {
			c.markUnreachable(entry.Address)
		}
		if !c.mayRetry(&request, err) || !c.waitForRetry(ctx, c.retryDelay(err)) {
			break
		}
	}
	return nil, attemptErrs.err()
}

// mayRetry reports whether the request may be retried after an attempt failed with err.
func (c *Client) mayRetry(request *Request, err error) bool {
	kind := savorystep.KindOf(err)
	info := kind.Info()
	if info.Execution == savorystep.NotExecuted {
		return info.Retryable
	}
	if kind == savorystep.KindOutcomeUnknown || kind == savorystep.KindDeadlineExceeded {
		return false
	}
	return request.safeToRetry()
}

// sendTo sends one attempt of a request to an entry.
func (c *Client) sendTo(ctx context.Context, entry savorystep.Entry, request *Request) (*Response, error) {
	var gotConn atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { gotConn.Store(true) },
	}
	outgoing, err := c.newHTTPRequest(httptrace.WithClientTrace(ctx, trace), entry, request)
	if err != nil {
		return nil, err
	}
	return c.roundTrip(ctx, outgoing, entry, &gotConn)
}

// roundTrip sends an HTTP request and reads the complete response. gotConn is set by the
// transport when the request got a connection; if it is nil, a failed request counts as
// sent.
func (c *Client) roundTrip(
	ctx context.Context, outgoing *http.Request, entry savorystep.Entry, gotConn *atomic.Bool,
) (*Response, error) {
	response, err := c.http.Do(outgoing)
	if err != nil {
		return nil, sendError(ctx, err, entry, gotConn == nil || gotConn.Load())
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBodyBytes+1))
	if err != nil {
		return nil, sendError(ctx, err, entry, true)
	}
	if len(body) > maxResponseBodyBytes {
		return nil, savorystep.NewError(savorystep.KindInternal, "response of entry %s has more than %d bytes", entry.Address, maxResponseBodyBytes)
	}
	if response.Header.Get(savorystep.HeaderKind) != "" {
		return nil, errorFromRefusal(response, body)
	}
	return &Response{Status: response.StatusCode, Header: response.Header, Body: body, Entry: entry}, nil
}

// newHTTPRequest returns the HTTP request for one attempt.
func (c *Client) newHTTPRequest(ctx context.Context, entry savorystep.Entry, request *Request) (*http.Request, error) {
	var body io.Reader = http.NoBody
	switch {
	case request.Body != nil:
		body = request.Body()
	case request.IdempotencyKey != "":
		// The HTTP transport resends a request with an Idempotency-Key header and no
		// body by itself, still marked as a first attempt. It can't resend one with a
		// body reader.
		body = io.MultiReader()
	}
	target := fmt.Sprintf("http://%s/s/%s%s", entry.Address, request.Name, request.Path)
	outgoing, err := http.NewRequestWithContext(ctx, request.Method, target, body)
	if err != nil {
		return nil, savorystep.WrapError(savorystep.KindBadRequest, err, "create request %s to service %s", request.ID, request.Name)
	}
	if request.Body != nil {
		outgoing.ContentLength = request.BodyLength
		// With GetBody, the HTTP transport resends a request by itself when an idle
		// connection was closed, which hides whether the request was sent.
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
		millisLeft := max(1, deadline.Sub(c.config.Clock.Now()).Milliseconds())
		outgoing.Header.Set(savorystep.HeaderDeadline, strconv.FormatInt(millisLeft, 10))
	}
	return outgoing, nil
}

// sendError returns the error for an attempt without a complete response. sent says
// whether the attempt got a connection to the entry.
func sendError(ctx context.Context, err error, entry savorystep.Entry, sent bool) error {
	if !sent {
		return savorystep.WrapError(savorystep.KindNotReady, errors.Join(errUnreachable, err), "connection to entry %s failed", entry.Address)
	}
	if ctx.Err() != nil {
		return savorystep.WrapError(savorystep.KindDeadlineExceeded, err, "entry %s did not respond before the deadline", entry.Address)
	}
	return savorystep.WrapError(savorystep.KindUpstreamFailed, err, "connection to entry %s ended before the response was complete", entry.Address)
}

// waitForRetry waits for delay and reports whether another attempt may follow. If the
// deadline of ctx would pass during the delay, it returns false at once.
func (c *Client) waitForRetry(ctx context.Context, delay time.Duration) bool {
	if deadline, ok := ctx.Deadline(); ok && deadline.Sub(c.config.Clock.Now()) <= delay {
		return false
	}
	return savorystep.Sleep(ctx, delay)
}

// retryDelay returns the time to wait before the attempt that follows err.
func (c *Client) retryDelay(err error) time.Duration {
	if c.config.IgnoreRetryDelay {
		return 0
	}
	var kindErr *savorystep.Error
	if !errors.As(err, &kindErr) {
		return 0
	}
	if kindErr.Cause != nil && kindErr.RetryDelay == 0 {
		// A connection error: another entry may be able to serve the request now.
		return 0
	}
	return kindErr.RetryAfter()
}
