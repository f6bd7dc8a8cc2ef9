package store

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"savorystep"
)

// A lateRegistry lists a member as ended once its last connection has closed, as the platform
// does, and confirms a registration only when the test allows it.
type lateRegistry struct {
	// silent is the number of first registrations that are never confirmed.
	silent  int
	confirm chan struct{}

	mu               sync.Mutex
	open, registered int
	isEnded          bool
}

func (l *lateRegistry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// The server notices the end of a connection only once the body is read.
	_, _ = io.Copy(io.Discard, r.Body)
	l.mu.Lock()
	if l.isEnded {
		l.mu.Unlock()
		w.WriteHeader(http.StatusConflict)
		return
	}
	l.registered++
	l.open++
	isSilent := l.registered <= l.silent
	l.mu.Unlock()
	if !isSilent {
		select {
		case <-l.confirm:
			_ = http.NewResponseController(w).Flush()
		case <-r.Context().Done():
		}
	}
	<-r.Context().Done()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
	l.isEnded = l.isEnded || l.open == 0
}

// newLateRegistryClient returns a client whose calls time out after a millisecond.
func newLateRegistryClient(t *testing.T, registry *lateRegistry) *Client {
	t.Helper()
	server := httptest.NewServer(registry)
	t.Cleanup(server.Close)
	client := NewClient(ClientConfig{Address: savorystep.Address(strings.TrimPrefix(server.URL, "http://")), Timeout: time.Millisecond})
	t.Cleanup(client.Close)
	return client
}

// registerUntilConfirmed registers an instance until the platform has confirmed or refused it.
func registerUntilConfirmed(t *testing.T, client *Client) {
	t.Helper()
	for {
		err := client.Register(t.Context(), savorystep.Instance{ID: "i"})
		if err == nil {
			return
		}
		if errors.Is(err, errListedAsEnded) || t.Context().Err() != nil {
			t.Fatalf("registration that was confirmed late: %v", err)
		}
	}
}

// TestRegistrationOutlivesTimeout guards against an instance that the platform lists as ended,
// and that no caller reaches any more, because its registration was closed when the time for
// the confirmation was over.
func TestRegistrationOutlivesTimeout(t *testing.T) {
	registry := &lateRegistry{confirm: make(chan struct{})}
	client := newLateRegistryClient(t, registry)
	for range 3 {
		if err := client.Register(t.Context(), savorystep.Instance{ID: "i"}); savorystep.KindOf(err) != savorystep.KindPlatformDown {
			t.Fatalf("Register without a confirmation = %v, want kind %v", err, savorystep.KindPlatformDown)
		}
	}
	close(registry.confirm)
	registerUntilConfirmed(t, client)
	registry.mu.Lock()
	defer registry.mu.Unlock()
	if registry.isEnded || registry.open < 1 {
		t.Errorf("the member is ended: %t, with %d open registrations, want at least one", registry.isEnded, registry.open)
	}
}

// TestSilentRegistrationIsSentAgain guards against an instance that waits for the confirmation
// of a registration on a connection that is silent for good.
func TestSilentRegistrationIsSentAgain(t *testing.T) {
	registry := &lateRegistry{silent: 2, confirm: make(chan struct{})}
	close(registry.confirm)
	client := newLateRegistryClient(t, registry)
	registerUntilConfirmed(t, client)
	registry.mu.Lock()
	defer registry.mu.Unlock()
	if registry.isEnded || registry.registered <= registry.silent {
		t.Errorf("the member is ended: %t, after %d registrations, want %d or more", registry.isEnded, registry.registered, registry.silent+1)
	}
}

// TestRefusedRegistrationIsReported guards against an instance that runs on although the
// platform lists it as ended, so that its peers have removed it.
func TestRefusedRegistrationIsReported(t *testing.T) {
	client := newLateRegistryClient(t, &lateRegistry{isEnded: true})
	for {
		err := client.Register(t.Context(), savorystep.Instance{ID: "i"})
		if errors.Is(err, errListedAsEnded) {
			break
		}
	}
	select {
	case err := <-client.RegistrationLost():
		if !errors.Is(err, errListedAsEnded) {
			t.Errorf("registration lost: %v, want %v", err, errListedAsEnded)
		}
	default:
		t.Error("the refusal was not reported")
	}
}
