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
)

// errEnded is the refusal of a registration whose ID is listed as ended.
var errListedAsEnded = errors.New("the platform lists this ID as ended")

// held keeps registrations open. Each has a connection of its own, whose end
// tells the platform that the process ended.
type registrar struct {
	client           *Client
	http             *http.Client
	registrationLost chan error

	mu      sync.Mutex
	closed  bool
	byID    map[string]*registration
	running sync.WaitGroup
}

// A registration is one held request.
type registration struct {
	stop context.CancelFunc
	done chan struct{}
}

func newRegistrar(client *Client) *registrar {
	return &registrar{
		client:           client,
		http:             &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		registrationLost: make(chan error, 1),
		byID:             make(map[string]*registration),
	}
}

// register opens a registration and then closes the older one of the same ID,
// so that the platform sees no gap.
func (h *registrar) register(ctx context.Context, path, id string, member any) error {
	body, err := json.Marshal(member)
	if err != nil {
		return savorystep.WrapError(savorystep.KindInternal, err, "the member has no JSON form")
	}
	registrationCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	response, err := h.post(ctx, registrationCtx, path, body)
	if err != nil {
		stop()
		return savorystep.WrapError(savorystep.KindPlatformDown, err, "no registration of %q", id)
	}
	r := &registration{stop: stop, done: make(chan struct{})}
	h.mu.Lock()
	if h.closed {
		h.mu.Unlock()
		stop()
		_ = response.Body.Close()
		return savorystep.NewError(savorystep.KindPlatformDown, "the client is closed")
	}
	previous := h.byID[path+id]
	h.byID[path+id] = r
	h.running.Add(1)
	h.mu.Unlock()
	go h.keepOpen(registrationCtx, r, response, path, body)
	if previous != nil {
		previous.stop()
		<-previous.done
	}
	return nil
}

// post sends a registration and returns once the platform confirmed it. The
// request lives as long as life; ctx bounds only the wait for the
// confirmation.
func (h *registrar) post(ctx, requestCtx context.Context, path string, body []byte) (*http.Response, error) {
	requestCtx, cancel := context.WithCancel(requestCtx)
	timer := time.AfterFunc(h.client.config.Timeout, cancel)
	defer timer.Stop()
	defer context.AfterFunc(ctx, cancel)()
	request, err := http.NewRequestWithContext(requestCtx, http.MethodPost, h.client.base+path, bytes.NewReader(body))
	if err != nil {
		cancel()
		return nil, err
	}
	response, err := h.http.Do(request)
	if err != nil {
		cancel()
		return nil, err
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer cancel()
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusConflict {
		return nil, errListedAsEnded
	}
	content, _ := io.ReadAll(io.LimitReader(response.Body, 512))
	return nil, statusError(httpResult{status: response.StatusCode, body: content})
}

// hold waits for the end of a registration's response and registers again if
// the process goes on.
func (h *registrar) keepOpen(ctx context.Context, r *registration, response *http.Response, path string, body []byte) {
	defer h.running.Done()
	defer close(r.done)
	for {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if ctx.Err() != nil {
			return
		}
		log.Warningf("the registration's connection ended, registering again")
		reopened, err := backoff.Retry(ctx, func() (*http.Response, error) {
			next, err := h.post(ctx, ctx, path, body)
			if errors.Is(err, errListedAsEnded) {
				err = backoff.Permanent(err)
			}
			return next, err
		}, backoff.WithMaxElapsedTime(0))
		if err != nil {
			if ctx.Err() == nil {
				h.reportLost(err)
			}
			return
		}
		response = reopened
	}
}

func (h *registrar) reportLost(err error) {
	log.Errorf("%v", err)
	select {
	case h.registrationLost <- err:
	default: // An earlier loss is still unread; one is enough to stop.
	}
}

// close ends all registrations and waits until their connections are closed.
func (h *registrar) close() {
	h.mu.Lock()
	h.closed = true
	for _, r := range h.byID {
		r.stop()
	}
	h.mu.Unlock()
	h.running.Wait()
}
