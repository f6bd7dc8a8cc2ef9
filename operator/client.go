package operator

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"savorystep"
	"savorystep/http1"
)

// A ClientConfig holds the servers and credentials of a Client.
type ClientConfig struct {
	// Servers are the operators' listeners, each an address or a URL. They are
	// tried in order until one can answer.
	Servers []string
	Token   string
	// TLS is the TLS configuration. If it is not nil, addresses without a scheme
	// use https, otherwise http.
	TLS *tls.Config
	// AttemptTimeout bounds the request to each server; 0 means 10 s.
	AttemptTimeout time.Duration
}

// defaultAttemptTimeout is far above the time that any request takes except a wait for a
// revision, which the client splits into shorter requests.
const defaultAttemptTimeout = 10 * time.Second

// idleConnTimeout is how long an idle connection is kept. It is below the idle timeout of
// the operators' server, a few minutes.
const idleConnTimeout = 90 * time.Second

// maxResponseBytes bounds a response body. The longest, a history of records, has
// a few hundred kilobytes.
const maxResponseBytes = 16 << 20

// A Client is a client of the operators' API. It prefers the server that answered
// last, because instances may temporarily have different revisions in force.
type Client struct {
	config     ClientConfig
	httpClient *http.Client
	baseURLs   []string

	mu sync.Mutex
	// serverIndex is the index in baseURLs of the server that answered last.
	serverIndex int
}

var _ ConfigEditor = &Client{}

// NewClient returns a client. It connects at the first request.
func NewClient(config ClientConfig) *Client {
	if config.AttemptTimeout == 0 {
		config.AttemptTimeout = defaultAttemptTimeout
	}
	transport := &http.Transport{
		DialContext:     http1.DialWithBreaks((&net.Dialer{}).DialContext),
		TLSClientConfig: config.TLS,
		IdleConnTimeout: idleConnTimeout,
	}
	c := &Client{config: config, httpClient: &http.Client{Transport: http1.Transport{RoundTripper: transport}}}
	for _, server := range config.Servers {
		c.baseURLs = append(c.baseURLs, c.baseURL(server))
	}
	return c
}

// baseURL returns the URL of a server given as address or URL.
func (c *Client) baseURL(server string) string {
	switch {
	case strings.Contains(server, "://"):
		return strings.TrimSuffix(server, "/")
	case c.config.TLS != nil:
		return "https://" + server
	default:
		return "http://" + server
	}
}

// NewChangeID returns a random ID for a change, which makes retries of the change
// idempotent.
func NewChangeID() savorystep.ChangeID {
	return savorystep.ChangeID(rand.Text())
}

// Apply replaces the record of a service, or creates it.
func (c *Client) Apply(ctx context.Context, request ApplyRequest) (*Outcome, error) {
	return postChange[*Outcome](ctx, c, "/v1/apply", request)
}

// Undo restores the record of a service at an earlier revision.
func (c *Client) Undo(ctx context.Context, request UndoRequest) (*Outcome, error) {
	return postChange[*Outcome](ctx, c, "/v1/undo", request)
}

// Shift sets the shift of a service between two regions.
func (c *Client) Shift(ctx context.Context, request ShiftRequest) (*Outcome, error) {
	return postChange[*Outcome](ctx, c, "/v1/shift", request)
}

// Drain shifts all traffic of a region to other regions, or ends that. There is one
// outcome for each service.
func (c *Client) Drain(ctx context.Context, request DrainRequest) ([]Outcome, error) {
	return postChange[[]Outcome](ctx, c, "/v1/drain", request)
}

// Correct adds a name, usually a misspelling, to the aliases of a service.
func (c *Client) Correct(ctx context.Context, request CorrectRequest) (*Outcome, error) {
	return postChange[*Outcome](ctx, c, "/v1/correct", request)
}

// DryRun returns an editor that sends changes as dry runs: the server validates
// them and returns their outcomes, but writes nothing.
func (c *Client) DryRun() ConfigEditor {
	return dryRunClient{c}
}

// A dryRunClient is a ConfigEditor that sends changes as dry runs.
type dryRunClient struct {
	client *Client
}

var _ ConfigEditor = dryRunClient{}

func (d dryRunClient) Apply(ctx context.Context, request ApplyRequest) (*Outcome, error) {
	return postChange[*Outcome](ctx, d.client, "/v1/apply?dry=true", request)
}

func (d dryRunClient) Undo(ctx context.Context, request UndoRequest) (*Outcome, error) {
	return postChange[*Outcome](ctx, d.client, "/v1/undo?dry=true", request)
}

func (d dryRunClient) Shift(ctx context.Context, request ShiftRequest) (*Outcome, error) {
	return postChange[*Outcome](ctx, d.client, "/v1/shift?dry=true", request)
}

func (d dryRunClient) Drain(ctx context.Context, request DrainRequest) ([]Outcome, error) {
	return postChange[[]Outcome](ctx, d.client, "/v1/drain?dry=true", request)
}

func (d dryRunClient) Correct(ctx context.Context, request CorrectRequest) (*Outcome, error) {
	return postChange[*Outcome](ctx, d.client, "/v1/correct?dry=true", request)
}

// Records lists all records.
func (c *Client) Records(ctx context.Context) ([]RecordStatus, error) {
	return getJSON[[]RecordStatus](ctx, c, "/v1/records", nil)
}

// Record returns the record of a service.
func (c *Client) Record(ctx context.Context, service savorystep.Service) (*RecordStatus, error) {
	return getJSON[*RecordStatus](ctx, c, "/v1/records/"+url.PathEscape(string(service)), nil)
}

// History returns at most limit changes of a service, newest first. An empty service
// means all services.
func (c *Client) History(ctx context.Context, service savorystep.Service, limit int) ([]savorystep.Change, error) {
	return getJSON[[]savorystep.Change](ctx, c, "/v1/history", url.Values{
		"service": {string(service)}, "limit": {strconv.Itoa(limit)},
	})
}

// Diff compares a record at two revisions. If to is 0, it is the revision of the
// record in force; if from is 0, it is the revision that the change at to replaced.
func (c *Client) Diff(ctx context.Context, service savorystep.Service, from, to savorystep.Revision) (*RecordDiff, error) {
	query := url.Values{}
	if from != 0 {
		query.Set("from", strconv.FormatUint(uint64(from), 10))
	}
	if to != 0 {
		query.Set("to", strconv.FormatUint(uint64(to), 10))
	}
	return getJSON[*RecordDiff](ctx, c, "/v1/diff/"+url.PathEscape(string(service)), query)
}

// Status returns the members and the load of all services as seen by the instance
// that answers.
func (c *Client) Status(ctx context.Context) (*Status, error) {
	return getJSON[*Status](ctx, c, "/v1/status", nil)
}

// UnknownNames returns the names that callers requested and no service has, the most
// frequent first.
func (c *Client) UnknownNames(ctx context.Context) ([]UnknownName, error) {
	return getJSON[[]UnknownName](ctx, c, "/v1/unknown", nil)
}

// ExplainLookup returns how a lookup of a name by a client from a region or an IP
// address is decided.
func (c *Client) ExplainLookup(ctx context.Context, name, from string) (json.RawMessage, error) {
	return getJSON[json.RawMessage](ctx, c, "/v1/explain", url.Values{"name": {name}, "from": {from}})
}

// WaitForRevision waits until all members that are not leaving have a revision in
// force, at most for the given timeout. Done of the result says whether they have.
func (c *Client) WaitForRevision(ctx context.Context, revision savorystep.Revision, timeout time.Duration) (*RolloutProgress, error) {
	deadline := time.Now().Add(timeout)
	for {
		// A single request may wait at most half of AttemptTimeout, and the
		// server bounds the wait too. So the request is repeated until the timeout.
		remaining := max(time.Until(deadline), 0)
		requestTimeout := min(remaining, c.config.AttemptTimeout/2)
		progress, err := getJSON[*RolloutProgress](ctx, c, "/v1/wait", url.Values{
			"revision": {strconv.FormatUint(uint64(revision), 10)}, "timeout": {requestTimeout.String()},
		})
		if err != nil || progress.Done || remaining <= requestTimeout {
			return progress, err
		}
	}
}

// getJSON sends a request without a body and decodes the JSON response.
func getJSON[Result any](ctx context.Context, c *Client, path string, query url.Values) (Result, error) {
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	return sendWithFailover[Result](ctx, c, http.MethodGet, path, nil)
}

// postChange sends a change. While the platform is down it retries with the same
// change ID until ctx leaves no time for another attempt. If an earlier attempt took
// effect although it failed, the server finds that change by its ID.
func postChange[Result any](ctx context.Context, c *Client, path string, request any) (Result, error) {
	body, err := json.Marshal(request)
	if err != nil {
		var zero Result
		return zero, savorystep.WrapError(savorystep.KindInternal, err, "encode request to %s", path)
	}
	for {
		result, err := sendWithFailover[Result](ctx, c, http.MethodPost, path, body)
		switch kind := savorystep.KindOf(err); {
		case kind == savorystep.KindPlatformDown && sleepBeforeRetry(ctx, err):
		case kind == savorystep.KindPlatformDown || kind == savorystep.KindDeadlineExceeded:
			return result, savorystep.WrapError(kind, err, "the change may have been made or may still be made; see the history")
		default:
			return result, err
		}
	}
}

// sleepBeforeRetry waits for the retry delay of the error's kind and reports whether
// ctx leaves time for another attempt. It does not wait if the time until the deadline
// of ctx is shorter than twice the delay, or if ctx has no deadline.
func sleepBeforeRetry(ctx context.Context, err error) bool {
	delay := savorystep.KindOf(err).Info().RetryDelay
	deadline, ok := ctx.Deadline()
	if !ok || time.Until(deadline) < 2*delay {
		return false
	}
	return savorystep.Sleep(ctx, delay)
}

// sendWithFailover tries the servers in order, starting with the one that answered
// last, and decodes the JSON response. It moves on to the next server only after an
// error of kind KindNotReady, KindPlatformDown or KindDeadlineExceeded. That is safe for
// changes too, since their ID makes them idempotent.
func sendWithFailover[Result any](ctx context.Context, c *Client, method, path string, body []byte) (Result, error) {
	var result Result
	if len(c.baseURLs) == 0 {
		return result, savorystep.NewError(savorystep.KindBadRequest, "no operator server is configured")
	}
	var errs []error
	firstServer := c.currentServer()
	for i := range c.baseURLs {
		if ctx.Err() != nil {
			break
		}
		server := (firstServer + i) % len(c.baseURLs)
		data, err := c.roundTrip(ctx, c.baseURLs[server], method, path, body)
		switch savorystep.KindOf(err) {
		case savorystep.KindNone:
			c.setCurrentServer(server)
			if err := json.Unmarshal(data, &result); err != nil {
				return result, savorystep.WrapError(savorystep.KindInternal, err, "decode response of %s", c.baseURLs[server])
			}
			return result, nil
		case savorystep.KindNotReady, savorystep.KindPlatformDown, savorystep.KindDeadlineExceeded:
			errs = append(errs, err)
		default:
			return result, err
		}
	}
	switch {
	case len(errs) == 0:
		return result, savorystep.WrapError(savorystep.KindDeadlineExceeded, ctx.Err(), "no server was tried before the deadline")
	case len(errs) == 1:
		return result, errs[0]
	default:
		return result, savorystep.WrapError(mostSpecificKind(errs), joinDistinct(errs), "none of %d servers answered", len(errs))
	}
}

// joinDistinct joins errors and leaves out repeated messages.
func joinDistinct(errs []error) error {
	seenMessages := map[string]bool{}
	var distinct []error
	for _, err := range errs {
		if !seenMessages[err.Error()] {
			seenMessages[err.Error()] = true
			distinct = append(distinct, err)
		}
	}
	return errors.Join(distinct...)
}

// mostSpecificKind returns the kind for the errors of several servers: the first one
// other than KindNotReady, which only says that a server cannot be reached.
func mostSpecificKind(errs []error) savorystep.Kind {
	for _, err := range errs {
		if kind := savorystep.KindOf(err); kind != savorystep.KindNotReady {
			return kind
		}
	}
	return savorystep.KindNotReady
}

func (c *Client) currentServer() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.serverIndex
}

func (c *Client) setCurrentServer(server int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serverIndex = server
}

// roundTrip sends a request to one server and returns the response body. A server
// that cannot be reached gives KindNotReady.
func (c *Client) roundTrip(ctx context.Context, server, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.AttemptTimeout)
	defer cancel()
	response, err := c.send(ctx, server, method, path, body)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return nil, savorystep.WrapError(savorystep.KindNotReady, err, "read response of %s", server)
	}
	if len(data) > maxResponseBytes {
		return nil, savorystep.NewError(savorystep.KindTooLarge, "response of %s has more than %d bytes", server, maxResponseBytes)
	}
	return data, nil
}

// send sends a request and converts an error response to an error. The caller closes
// the body of the response.
func (c *Client) send(ctx context.Context, server, method, path string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, server+path, bytes.NewReader(body))
	if err != nil {
		return nil, savorystep.WrapError(savorystep.KindBadRequest, err, "create request to server %s", server)
	}
	if c.config.Token != "" {
		request.Header.Set("Authorization", "Bearer "+c.config.Token)
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.httpClient.Do(request)
	if err != nil {
		// url.Error repeats the method and the URL, which the message has already.
		var urlErr *url.Error
		if errors.As(err, &urlErr) {
			err = urlErr.Err
		}
		if errors.Is(err, context.DeadlineExceeded) {
			return nil, savorystep.WrapError(savorystep.KindDeadlineExceeded, err, "server %s did not answer in time", server)
		}
		return nil, savorystep.WrapError(savorystep.KindNotReady, err, "server %s cannot be reached", server)
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer func() { _ = response.Body.Close() }()
	var errorBody ErrorBody
	kind, isKnown := savorystep.ParseKind(response.Header.Get(savorystep.HeaderKind))
	if err := json.NewDecoder(response.Body).Decode(&errorBody); err != nil || !isKnown {
		return nil, savorystep.NewError(savorystep.KindInternal, "server %s answered with status %s", server, response.Status)
	}
	e := savorystep.NewError(kind, "%s", errorBody.Detail)
	if len(errorBody.Suggestions) > 0 {
		e.Detail += "; similar: " + joinStrings(errorBody.Suggestions)
	}
	e.Suggestions = errorBody.Suggestions
	e.RetryDelay = time.Duration(errorBody.RetryDelayMillis) * time.Millisecond
	return nil, e
}
