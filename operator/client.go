package operator

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"savorystep"
)

// A ClientConfig says how operators' listeners are reached.
type ClientConfig struct {
	// Servers are tried in order, each an address or a URL.
	Servers []string
	Token   string
	// TLS makes addresses without a scheme use https; it may be nil.
	TLS *tls.Config
	// AttemptTimeout bounds each attempt at a server; 0 means 10 s.
	AttemptTimeout time.Duration
}

// defaultTimeout is far above the time of any answer but a wait.
const defaultTimeout = 10 * time.Second

// maxAnswer bounds an answer in bytes. The longest, a history of records, has a
// few hundred kilobytes.
const maxAnswer = 16 << 20

// A Client speaks the operators' protocol. It keeps to the server that
// answered last, since instances may differ for a moment.
type Client struct {
	config ClientConfig
	http   *http.Client
	urls   []string

	mu      sync.Mutex
	current int
}

var _ ConfigEditor = &Client{}

// NewClient returns a client. It connects when first used.
func NewClient(config ClientConfig) *Client {
	if config.AttemptTimeout == 0 {
		config.AttemptTimeout = defaultTimeout
	}
	c := &Client{
		config: config,
		http:   &http.Client{Transport: &http.Transport{TLSClientConfig: config.TLS}},
	}
	for _, server := range config.Servers {
		c.urls = append(c.urls, c.url(server))
	}
	return c
}

// url completes an address to a URL.
func (c *Client) url(server string) string {
	switch {
	case strings.Contains(server, "://"):
		return strings.TrimSuffix(server, "/")
	case c.config.TLS != nil:
		return "https://" + server
	default:
		return "http://" + server
	}
}

// NewChangeID returns a random ID for a change.
func NewChangeID() savorystep.ChangeID {
	return savorystep.ChangeID(rand.Text())
}

// Apply replaces a record.
func (c *Client) Apply(ctx context.Context, request ApplyRequest) (*Outcome, error) {
	return post[*Outcome](ctx, c, "/v1/apply", request)
}

// Undo restores an old record.
func (c *Client) Undo(ctx context.Context, request UndoRequest) (*Outcome, error) {
	return post[*Outcome](ctx, c, "/v1/undo", request)
}

// Shift sets a shift.
func (c *Client) Shift(ctx context.Context, request ShiftRequest) (*Outcome, error) {
	return post[*Outcome](ctx, c, "/v1/shift", request)
}

// Drain moves the traffic of a region elsewhere.
func (c *Client) Drain(ctx context.Context, request DrainRequest) ([]Outcome, error) {
	return post[[]Outcome](ctx, c, "/v1/drain", request)
}

// Correct makes a misspelling lead to a service.
func (c *Client) Correct(ctx context.Context, request CorrectRequest) (*Outcome, error) {
	return post[*Outcome](ctx, c, "/v1/correct", request)
}

// DryRun returns the changes of the client as dry runs: the server checks them
// and answers as usual, but writes nothing.
func (c *Client) DryRun() ConfigEditor {
	return dryClient{c}
}

// A dryClient sends changes as dry runs.
type dryClient struct {
	client *Client
}

var _ ConfigEditor = dryClient{}

func (d dryClient) Apply(ctx context.Context, request ApplyRequest) (*Outcome, error) {
	return post[*Outcome](ctx, d.client, "/v1/apply?dry=true", request)
}

func (d dryClient) Undo(ctx context.Context, request UndoRequest) (*Outcome, error) {
	return post[*Outcome](ctx, d.client, "/v1/undo?dry=true", request)
}

func (d dryClient) Shift(ctx context.Context, request ShiftRequest) (*Outcome, error) {
	return post[*Outcome](ctx, d.client, "/v1/shift?dry=true", request)
}

func (d dryClient) Drain(ctx context.Context, request DrainRequest) ([]Outcome, error) {
	return post[[]Outcome](ctx, d.client, "/v1/drain?dry=true", request)
}

func (d dryClient) Correct(ctx context.Context, request CorrectRequest) (*Outcome, error) {
	return post[*Outcome](ctx, d.client, "/v1/correct?dry=true", request)
}

// Records lists all records.
func (c *Client) Records(ctx context.Context) ([]RecordStatus, error) {
	return get[[]RecordStatus](ctx, c, "/v1/records", nil)
}

// Record returns the record of a service.
func (c *Client) Record(ctx context.Context, service savorystep.Service) (*RecordStatus, error) {
	return get[*RecordStatus](ctx, c, "/v1/records/"+url.PathEscape(string(service)), nil)
}

// History returns the last changes, newest first, of a service or of all.
func (c *Client) History(ctx context.Context, service savorystep.Service, limit int) ([]savorystep.Change, error) {
	return get[[]savorystep.Change](ctx, c, "/v1/history", url.Values{
		"service": {string(service)}, "limit": {strconv.Itoa(limit)},
	})
}

// Diff compares two versions of a record. From 0 means the version before to,
// to 0 the version in force.
func (c *Client) Diff(ctx context.Context, service savorystep.Service, from, to savorystep.Revision) (*RecordDiff, error) {
	query := url.Values{}
	if from != 0 {
		query.Set("from", strconv.FormatUint(uint64(from), 10))
	}
	if to != 0 {
		query.Set("to", strconv.FormatUint(uint64(to), 10))
	}
	return get[*RecordDiff](ctx, c, "/v1/diff/"+url.PathEscape(string(service)), query)
}

// Status returns the system as one instance sees it.
func (c *Client) Status(ctx context.Context) (*Status, error) {
	return get[*Status](ctx, c, "/v1/status", nil)
}

// UnknownNames returns the unknown names, the most frequent first.
func (c *Client) UnknownNames(ctx context.Context) ([]UnknownName, error) {
	return get[[]UnknownName](ctx, c, "/v1/unknown", nil)
}

// ExplainLookup tells how a lookup is decided.
func (c *Client) ExplainLookup(ctx context.Context, name, from string) (json.RawMessage, error) {
	return get[json.RawMessage](ctx, c, "/v1/explain", url.Values{"name": {name}, "from": {from}})
}

// WaitForRevision waits until all instances have a revision in force, at most for a
// timeout.
func (c *Client) WaitForRevision(ctx context.Context, revision savorystep.Revision, timeout time.Duration) (*RolloutProgress, error) {
	deadline := time.Now().Add(timeout)
	for {
		// A server may bound the wait below the client's, so the client asks
		// again until its own timeout.
		left := max(time.Until(deadline), 0)
		step := min(left, c.config.AttemptTimeout/2)
		progress, err := get[*RolloutProgress](ctx, c, "/v1/wait", url.Values{
			"revision": {strconv.FormatUint(uint64(revision), 10)}, "timeout": {step.String()},
		})
		if err != nil || progress.Done || left <= step {
			return progress, err
		}
	}
}

// get makes a request without a body.
func get[Answer any](ctx context.Context, c *Client, path string, query url.Values) (Answer, error) {
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	return ask[Answer](ctx, c, http.MethodGet, path, nil)
}

// post makes a change. While the platform is down it tries again with the same
// ID until ctx has no time left for another try; an earlier try that took
// effect after all is found by the ID.
func post[Answer any](ctx context.Context, c *Client, path string, request any) (Answer, error) {
	body, err := json.Marshal(request)
	if err != nil {
		var none Answer
		return none, savorystep.WrapError(savorystep.KindInternal, err, "encode a request")
	}
	for {
		answer, err := ask[Answer](ctx, c, http.MethodPost, path, body)
		switch kind := savorystep.KindOf(err); {
		case kind == savorystep.KindPlatformDown && sleepWithin(ctx, err):
		case kind == savorystep.KindPlatformDown || kind == savorystep.KindDeadlineExceeded:
			return answer, savorystep.WrapError(kind, err, "the change may have been made or may still be made; see the history")
		default:
			return answer, err
		}
	}
}

// sleepWithin waits for the delay that an error asks for and reports whether
// ctx leaves time for another try.
func sleepWithin(ctx context.Context, err error) bool {
	delay := savorystep.KindOf(err).Info().RetryDelay
	deadline, ok := ctx.Deadline()
	if !ok || time.Until(deadline) < 2*delay {
		return false
	}
	return savorystep.Sleep(ctx, delay)
}

// ask tries the servers in order, beginning with the one that answered last.
// It goes on to the next one only if a server cannot be reached or cannot
// answer now. That is safe for changes too, since they carry an ID.
func ask[Answer any](ctx context.Context, c *Client, method, path string, body []byte) (Answer, error) {
	var answer Answer
	if len(c.urls) == 0 {
		return answer, savorystep.NewError(savorystep.KindBadRequest, "no server is given")
	}
	var errs []error
	first := c.server()
	for i := range c.urls {
		if ctx.Err() != nil {
			break
		}
		server := (first + i) % len(c.urls)
		data, err := c.roundTrip(ctx, c.urls[server], method, path, body)
		switch savorystep.KindOf(err) {
		case savorystep.KindNone:
			c.setServer(server)
			if err := json.Unmarshal(data, &answer); err != nil {
				return answer, savorystep.WrapError(savorystep.KindInternal, err, "decode the answer of %s", c.urls[server])
			}
			return answer, nil
		case savorystep.KindNotReady, savorystep.KindPlatformDown, savorystep.KindDeadlineExceeded:
			errs = append(errs, err)
		default:
			return answer, err
		}
	}
	switch {
	case len(errs) == 0:
		return answer, savorystep.WrapError(savorystep.KindDeadlineExceeded, ctx.Err(), "no server was asked in time")
	case len(errs) == 1:
		return answer, errs[0]
	default:
		return answer, savorystep.WrapError(worstKind(errs), joinDistinct(errs), "no server of %d answered", len(errs))
	}
}

// joinDistinct joins errors, leaving out those that say the same.
func joinDistinct(errs []error) error {
	seen := map[string]bool{}
	var distinct []error
	for _, err := range errs {
		if !seen[err.Error()] {
			seen[err.Error()] = true
			distinct = append(distinct, err)
		}
	}
	return errors.Join(distinct...)
}

// worstKind returns the kind of errors of several servers. That the platform is
// down tells more than that a server cannot be reached.
func worstKind(errs []error) savorystep.Kind {
	for _, err := range errs {
		if kind := savorystep.KindOf(err); kind != savorystep.KindNotReady {
			return kind
		}
	}
	return savorystep.KindNotReady
}

func (c *Client) server() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

func (c *Client) setServer(server int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = server
}

// roundTrip makes one request to one server. A server that cannot be reached
// gives KindNotReady.
func (c *Client) roundTrip(ctx context.Context, server, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.AttemptTimeout)
	defer cancel()
	response, err := c.send(ctx, server, method, path, body)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
	if err != nil {
		return nil, savorystep.WrapError(savorystep.KindNotReady, err, "read the answer of %s", server)
	}
	if len(data) > maxAnswer {
		return nil, savorystep.NewError(savorystep.KindTooLarge, "the answer of %s has more than %d bytes", server, maxAnswer)
	}
	return data, nil
}

// send makes a request and turns an error answer into an error. The caller
// closes the body.
func (c *Client) send(ctx context.Context, server, method, path string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, server+path, bytes.NewReader(body))
	if err != nil {
		return nil, savorystep.WrapError(savorystep.KindBadRequest, err, "server %s", server)
	}
	if c.config.Token != "" {
		request.Header.Set("Authorization", "Bearer "+c.config.Token)
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.http.Do(request)
	if err != nil {
		// The URL stands in the message already.
		var failed *url.Error
		if errors.As(err, &failed) {
			err = failed.Err
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
	var fault ErrorBody
	kind, known := savorystep.ParseKind(response.Header.Get(savorystep.HeaderKind))
	if err := json.NewDecoder(response.Body).Decode(&fault); err != nil || !known {
		return nil, savorystep.NewError(savorystep.KindInternal, "server %s answered with status %s", server, response.Status)
	}
	e := savorystep.NewError(kind, "%s", fault.Detail)
	if len(fault.Suggestions) > 0 {
		e.Detail += "; similar: " + joinTexts(fault.Suggestions)
	}
	e.Suggestions = fault.Suggestions
	e.RetryDelay = time.Duration(fault.RetryDelayMillis) * time.Millisecond
	return nil, e
}
