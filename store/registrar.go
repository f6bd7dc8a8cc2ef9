package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"savorystep"
	"savorystep/http1"
)

// errListedAsEnded means that the platform refused a registration because it
// lists the ID as ended.
var errListedAsEnded = errors.New("registration refused: the platform lists the ID as ended")

// errNotConfirmed means that the platform has not confirmed a registration in time.
var errNotConfirmed = errors.New("registration not confirmed in time")

const (
	// reopenFactor times the time-out of a call is how long a registration waits for the
	// platform before it is sent on another connection as well. The wait doubles with each.
	reopenFactor = 5
	// maxReopenPause bounds that wait. Each connection stays open, so a shorter one takes
	// more descriptors in a long outage.
	maxReopenPause = 5 * time.Minute
)

// A registrar keeps registrations open. Each has its own connection; when it
// closes, the platform lists the member as ended.
type registrar struct {
	client           *Client
	http             *http.Client
	registrationLost chan error

	mu     sync.Mutex
	closed bool
	// byID maps the path and ID of each member to its registration.
	byID    map[string]*registration
	running sync.WaitGroup
}

// A registration is a registration request that is open or waits for its confirmation. It
// is not given up when the wait is: the platform may have received it, and would list the
// member as ended when its connection closes.
type registration struct {
	path, id string
	body     []byte
	stop     context.CancelFunc
	// previous stays open until this registration is confirmed. The registrar's mutex
	// guards it.
	previous *registration
	// confirmed is closed once the platform has confirmed the registration, or has not
	// with the error err.
	confirmed chan struct{}
	err       error
	done      chan struct{}
}

// isPending reports whether the platform has not answered yet.
func (reg *registration) isPending() bool {
	select {
	case <-reg.confirmed:
		return false
	default:
		return true
	}
}

func newRegistrar(client *Client) *registrar {
	return &registrar{
		client:           client,
		http:             &http.Client{Transport: http1.Transport{RoundTripper: &http.Transport{DisableKeepAlives: true}}},
		registrationLost: make(chan error, 1),
		byID:             make(map[string]*registration),
	}
}

// register opens a registration and then closes the previous one of the same
// ID, so that the platform sees no gap. If the platform does not confirm it in time,
// the registration goes on, and another call waits for the same one.
func (r *registrar) register(ctx context.Context, path, id string, member any) error {
	body, err := json.Marshal(member)
	if err != nil {
		return savorystep.WrapError(savorystep.KindInternal, err, "encode member %q as JSON", id)
	}
	reg := r.start(ctx, path, id, body)
	if reg == nil {
		return savorystep.NewError(savorystep.KindPlatformDown, "register %q: the client is closed", id)
	}
	timer := time.NewTimer(r.client.config.Timeout)
	defer timer.Stop()
	select {
	case <-reg.confirmed:
		err = reg.err
	case <-timer.C:
		err = errNotConfirmed
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err != nil {
		return savorystep.WrapError(savorystep.KindPlatformDown, err, "register %q with the platform", id)
	}
	return nil
}

// start returns the pending registration of a member with the same body, or starts one. It
// returns nil after close.
func (r *registrar) start(ctx context.Context, path, id string, body []byte) *registration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return nil
	}
	previous := r.byID[path+id]
	if previous != nil && previous.isPending() && bytes.Equal(previous.body, body) {
		return previous
	}
	registrationCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	reg := &registration{
		path: path, id: id, body: body, stop: stop, previous: previous,
		confirmed: make(chan struct{}), done: make(chan struct{}),
	}
	r.byID[path+id] = reg
	r.running.Add(1)
	go r.run(registrationCtx, reg)
	return reg
}

// run opens a registration and keeps it open until ctx ends.
func (r *registrar) run(ctx context.Context, reg *registration) {
	defer r.running.Done()
	defer close(reg.done)
	response, err := r.open(ctx, reg.path, reg.body)
	if err != nil {
		r.remove(reg)
		if errors.Is(err, errListedAsEnded) {
			r.reportLost(err)
		}
		reg.err = err
		close(reg.confirmed)
		return
	}
	for _, previous := range r.takePrevious(reg) {
		previous.stop()
		<-previous.done
	}
	close(reg.confirmed)
	r.keepOpen(ctx, response, reg.path, reg.body)
}

// remove makes the previous registration the newest one of its member again, unless there
// is a newer one.
func (r *registrar) remove(reg *registration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch key := reg.path + reg.id; {
	case r.byID[key] != reg:
	case reg.previous != nil:
		r.byID[key] = reg.previous
	default:
		delete(r.byID, key)
	}
}

// takePrevious removes the registrations from a confirmed one that it replaces, and returns
// them.
func (r *registrar) takePrevious(reg *registration) []*registration {
	r.mu.Lock()
	defer r.mu.Unlock()
	var replaced []*registration
	for previous := reg.previous; previous != nil; previous = previous.previous {
		replaced = append(replaced, previous)
	}
	reg.previous = nil
	return replaced
}

// A registrationAttempt is a registration request on one connection.
type registrationAttempt struct {
	cancel   context.CancelFunc
	response *http.Response
	err      error
}

// open sends a registration and returns once the platform has confirmed it. The request
// stays open until ctx ends. While there is no answer, it is sent on further connections as
// well, since the first one may be silent for good. None is closed before another one is
// confirmed, because the platform may know of each.
func (r *registrar) open(ctx context.Context, path string, body []byte) (*http.Response, error) {
	results := make(chan *registrationAttempt)
	pending := make(map[*registrationAttempt]bool)
	send := func() {
		attemptCtx, cancel := context.WithCancel(ctx)
		a := &registrationAttempt{cancel: cancel}
		pending[a] = true
		go func() {
			a.response, a.err = r.post(attemptCtx, path, body) //nolint:bodyclose // The receiver of the result closes it.
			results <- a
		}()
	}
	pause := reopenFactor * r.client.config.Timeout
	timer := time.NewTimer(pause)
	defer timer.Stop()
	send()
	for {
		select {
		case <-timer.C:
			send()
			pause = min(2*pause, maxReopenPause)
			timer.Reset(pause)
		case a := <-results:
			delete(pending, a)
			if a.err != nil {
				a.cancel()
			}
			if a.err != nil && len(pending) > 0 && !errors.Is(a.err, errListedAsEnded) {
				continue
			}
			cancelAttempts(pending, results)
			return a.response, a.err
		}
	}
}

// cancelAttempts closes the connections of attempts and waits for their results.
func cancelAttempts(attempts map[*registrationAttempt]bool, results <-chan *registrationAttempt) {
	for a := range attempts {
		a.cancel()
	}
	for range attempts {
		if a := <-results; a.err == nil {
			_ = a.response.Body.Close()
		}
	}
}

// post sends a registration and returns once the platform has confirmed it. The request
// stays open until ctx ends.
func (r *registrar) post(ctx context.Context, path string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, r.client.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	response, err := r.http.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusConflict {
		return nil, errListedAsEnded
	}
	content, _ := io.ReadAll(io.LimitReader(response.Body, 512))
	return nil, statusError(httpResult{status: response.StatusCode, body: content})
}

// keepOpen waits until the response of a registration ends, and registers again
// unless the registration was closed.
func (r *registrar) keepOpen(ctx context.Context, response *http.Response, path string, body []byte) {
	for {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if ctx.Err() != nil {
			return
		}
		log.Warningf("connection of the registration at %s closed, registering again", path)
		reopened, err := backoff.Retry(ctx, func() (*http.Response, error) {
			next, err := r.open(ctx, path, body)
			if errors.Is(err, errListedAsEnded) {
				err = backoff.Permanent(err)
			}
			return next, err
		}, backoff.WithMaxElapsedTime(0))
		if err != nil {
			if ctx.Err() == nil {
				r.reportLost(err)
			}
			return
		}
		response = reopened
	}
}

func (r *registrar) reportLost(err error) {
	log.Errorf("registration lost: %v", err)
	select {
	case r.registrationLost <- err:
	default: // One unread error is enough to stop the process.
	}
}

// close closes all registrations and waits until their connections are closed.
func (r *registrar) close() {
	r.mu.Lock()
	r.closed = true
	for _, reg := range r.byID {
		for ; reg != nil; reg = reg.previous {
			reg.stop()
		}
	}
	r.mu.Unlock()
	r.running.Wait()
}
