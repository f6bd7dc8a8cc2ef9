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
var errEnded = errors.New("the platform lists this ID as ended")

// held keeps registrations open. Each has a connection of its own, whose end
// tells the platform that the process ended.
type held struct {
	client *Client
	http   *http.Client
	lost   chan error

	mu     sync.Mutex
	closed bool
	open   map[string]*registration
	wait   sync.WaitGroup
}

// A registration is one held request.
type registration struct {
	stop context.CancelFunc
	done chan struct{}
}

func newHeld(client *Client) *held {
	return &held{
		client: client,
		http:   &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		lost:   make(chan error, 1),
		open:   make(map[string]*registration),
	}
}

// register opens a registration and then closes the older one of the same ID,
// so that the platform sees no gap.
func (h *held) register(ctx context.Context, path, id string, member any) error {
	body, err := json.Marshal(member)
	if err != nil {
		return savorystep.WrapError(savorystep.KindInternal, err, "the member has no JSON form")
	}
	life, stop := context.WithCancel(context.WithoutCancel(ctx))
	response, err := h.post(ctx, life, path, body)
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
	older := h.open[path+id]
	h.open[path+id] = r
	h.wait.Add(1)
	h.mu.Unlock()
	go h.hold(life, r, response, path, body)
	if older != nil {
		older.stop()
		<-older.done
	}
	return nil
}

// post sends a registration and returns once the platform confirmed it. The
// request lives as long as life; ctx bounds only the wait for the
// confirmation.
func (h *held) post(ctx, life context.Context, path string, body []byte) (*http.Response, error) {
	life, cancel := context.WithCancel(life)
	timeout := time.AfterFunc(h.client.config.Timeout, cancel)
	defer timeout.Stop()
	defer context.AfterFunc(ctx, cancel)()
	request, err := http.NewRequestWithContext(life, http.MethodPost, h.client.base+path, bytes.NewReader(body))
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
		return nil, errEnded
	}
	content, _ := io.ReadAll(io.LimitReader(response.Body, 512))
	return nil, statusError(answer{status: response.StatusCode, body: content})
}

// hold waits for the end of a registration's response and registers again if
// the process goes on.
func (h *held) hold(life context.Context, r *registration, response *http.Response, path string, body []byte) {
	defer h.wait.Done()
	defer close(r.done)
	for {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if life.Err() != nil {
			return
		}
		log.Warningf("the registration's connection ended, registering again")
		again, err := backoff.Retry(life, func() (*http.Response, error) {
			next, err := h.post(life, life, path, body)
			if errors.Is(err, errEnded) {
				err = backoff.Permanent(err)
			}
			return next, err
		}, backoff.WithMaxElapsedTime(0))
		if err != nil {
			if life.Err() == nil {
				h.reportLost(err)
			}
			return
		}
		response = again
	}
}

func (h *held) reportLost(err error) {
	log.Errorf("%v", err)
	select {
	case h.lost <- err:
	default: // An earlier loss is still unread; one is enough to stop.
	}
}

// close ends all registrations and waits until their connections are closed.
func (h *held) close() {
	h.mu.Lock()
	h.closed = true
	for _, r := range h.open {
		r.stop()
	}
	h.mu.Unlock()
	h.wait.Wait()
}
