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

// errConfirmedLate means that the platform confirmed a registration when its request was
// being cancelled.
var errConfirmedLate = errors.New("registration confirmed after its time")

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

// A registration is an open registration request.
type registration struct {
	stop context.CancelFunc
	done chan struct{}
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
// ID, so that the platform sees no gap.
func (r *registrar) register(ctx context.Context, path, id string, member any) error {
	body, err := json.Marshal(member)
	if err != nil {
		return savorystep.WrapError(savorystep.KindInternal, err, "encode member %q as JSON", id)
	}
	registrationCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	response, err := r.post(ctx, registrationCtx, path, body)
	if err != nil {
		stop()
		return savorystep.WrapError(savorystep.KindPlatformDown, err, "register %q with the platform", id)
	}
	reg := &registration{stop: stop, done: make(chan struct{})}
	r.mu.Lock()
	if r.closed {
		r.mu.Unlock()
		stop()
		_ = response.Body.Close()
		return savorystep.NewError(savorystep.KindPlatformDown, "register %q: the client is closed", id)
	}
	previous := r.byID[path+id]
	r.byID[path+id] = reg
	r.running.Add(1)
	r.mu.Unlock()
	go r.keepOpen(registrationCtx, reg, response, path, body)
	if previous != nil {
		previous.stop()
		<-previous.done
	}
	return nil
}

// post sends a registration and returns once the platform has confirmed it. The
// request stays open until requestCtx ends; ctx bounds only the wait for the
// confirmation.
func (r *registrar) post(ctx, requestCtx context.Context, path string, body []byte) (*http.Response, error) {
	requestCtx, cancel := context.WithCancel(requestCtx)
	timer := time.AfterFunc(r.client.config.Timeout, cancel)
	defer timer.Stop()
	stopWatch := context.AfterFunc(ctx, cancel)
	defer stopWatch()
	request, err := http.NewRequestWithContext(requestCtx, http.MethodPost, r.client.base+path, bytes.NewReader(body))
	if err != nil {
		cancel()
		return nil, err
	}
	response, err := r.http.Do(request)
	if err != nil {
		cancel()
		return nil, err
	}
	// Once both are stopped, only the end of requestCtx can close the registration.
	if response.StatusCode == http.StatusOK && timer.Stop() && stopWatch() {
		return response, nil
	}
	defer cancel()
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusOK {
		return nil, errConfirmedLate
	}
	if response.StatusCode == http.StatusConflict {
		return nil, errListedAsEnded
	}
	content, _ := io.ReadAll(io.LimitReader(response.Body, 512))
	return nil, statusError(httpResult{status: response.StatusCode, body: content})
}

// keepOpen waits until the response of a registration ends, and registers again
// unless the registration was closed.
func (r *registrar) keepOpen(ctx context.Context, reg *registration, response *http.Response, path string, body []byte) {
	defer r.running.Done()
	defer close(reg.done)
	for {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if ctx.Err() != nil {
			return
		}
		log.Warningf("connection of the registration at %s closed, registering again", path)
		reopened, err := backoff.Retry(ctx, func() (*http.Response, error) {
			next, err := r.post(ctx, ctx, path, body)
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
		reg.stop()
	}
	r.mu.Unlock()
	r.running.Wait()
}
