package upstream_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"savorystep"
	"savorystep/standin"
	"savorystep/upstream"
)

// A fakeStore is an idempotency store in memory. It permits one attempt for
// each key.
type fakeStore struct {
	mu   sync.Mutex
	rows map[savorystep.IdempotencyKey]*fakeAttempt
}

// A fakeAttempt is a row of a fakeStore.
type fakeAttempt struct {
	store    *fakeStore
	key      savorystep.IdempotencyKey
	stored   *savorystep.StoredResponse
	returned *savorystep.StoredResponse
}

func (s *fakeStore) Begin(_ context.Context, _ savorystep.Service, key savorystep.IdempotencyKey, _ savorystep.Fingerprint) (savorystep.KeyedAttempt, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	row := s.rows[key]
	switch {
	case row == nil:
		row = &fakeAttempt{store: s, key: key}
		s.rows[key] = row
		return row, nil
	case row.stored != nil:
		return &fakeAttempt{returned: row.stored}, nil
	}
	return nil, savorystep.NewError(savorystep.KindInProgress, "a request with the key is in progress")
}

func (a *fakeAttempt) StoredResponse() *savorystep.StoredResponse { return a.returned }

func (a *fakeAttempt) Complete(_ context.Context, response savorystep.StoredResponse) error {
	a.store.mu.Lock()
	defer a.store.mu.Unlock()
	a.stored = &response
	return nil
}

func (a *fakeAttempt) Release(context.Context) error {
	a.store.mu.Lock()
	defer a.store.mu.Unlock()
	delete(a.store.rows, a.key)
	return nil
}

// keyedPost returns an at-most-once request with an idempotency key.
func keyedPost(id savorystep.RequestID, path string) *savorystep.Request {
	request := post(id, path)
	request.IdempotencyKey = "key-1"
	return request
}

// TestKeyedRunsOnce guards against a second execution of a request with a key,
// and against a second response that differs from the first.
func TestKeyedRunsOnce(t *testing.T) {
	tb := newTestbed(t)
	a := tb.addUpstream("a", "natal", standin.UpstreamConfig{})
	k := upstream.NewKeyedForwarder(tb.newPool(nil), upstream.KeyedForwarderConfig{Store: &fakeStore{rows: map[savorystep.IdempotencyKey]*fakeAttempt{}}})
	bodies := make([]string, 2)
	for i, id := range []savorystep.RequestID{"r1", "r2"} {
		response, err := k.Forward(t.Context(), keyedPost(id, "/size/5000"))
		if err != nil {
			t.Fatal(err)
		}
		bodies[i] = readAll(t, response)
	}
	if bodies[0] != bodies[1] || len(bodies[0]) != 5000 {
		t.Error("the responses differ or do not have 5000 bytes")
	}
	if runs := a.Stats().RunsByKey["key-1"]; runs != 1 {
		t.Errorf("%d runs, want 1", runs)
	}
}

// TestKeyedCallerCancels guards against losing a response because its caller
// left while the request ran.
func TestKeyedCallerCancels(t *testing.T) {
	tb := newTestbed(t)
	a := tb.addUpstream("a", "natal", standin.UpstreamConfig{})
	k := upstream.NewKeyedForwarder(tb.newPool(nil), upstream.KeyedForwarderConfig{Store: &fakeStore{rows: map[savorystep.IdempotencyKey]*fakeAttempt{}}})
	a.SetFaults(standin.UpstreamFaults{Hold: true})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		tb.eventually("the request runs", func() bool { return a.Stats().RunsByKey["key-1"] == 1 })
		cancel()
	}()
	_, err := k.Forward(ctx, keyedPost("r1", "/echo"))
	wantError(t, err, savorystep.KindDeadlineExceeded)
	a.SetFaults(standin.UpstreamFaults{})
	k.Wait()
	response, err := k.Forward(t.Context(), keyedPost("r2", "/echo"))
	if err != nil {
		t.Fatal(err)
	}
	readAll(t, response)
	if runs := a.Stats(); runs.RunsByKey["key-1"] != 1 || runs.Cancelled != 0 {
		t.Errorf("runs %+v, want 1 run and no cancelled one", runs)
	}
}

// TestKeyedReleasesUnexecuted guards against a key that stays reserved by a
// request that was not executed.
func TestKeyedReleasesUnexecuted(t *testing.T) {
	tb := newTestbed(t)
	a := tb.addUpstream("a", "natal", standin.UpstreamConfig{})
	store := &fakeStore{rows: map[savorystep.IdempotencyKey]*fakeAttempt{}}
	k := upstream.NewKeyedForwarder(tb.newPool(nil), upstream.KeyedForwarderConfig{Store: store})
	a.SetFaults(standin.UpstreamFaults{Shed: true})
	_, err := k.Forward(t.Context(), keyedPost("r1", "/echo"))
	wantError(t, err, savorystep.KindOverloaded)
	late := keyedPost("r2", "/echo")
	late.Deadline = time.Now().Add(-time.Second)
	_, err = k.Forward(t.Context(), late)
	if err == nil || savorystep.KindOf(err).Info().Execution == savorystep.Executed {
		t.Errorf("error %v after the deadline, want one that does not report the request as executed", err)
	}
	k.Wait()
	a.SetFaults(standin.UpstreamFaults{})
	response, err := k.Forward(t.Context(), keyedPost("r3", "/echo"))
	if err != nil {
		t.Fatal(err)
	}
	readAll(t, response)
}

// TestKeyedKeepsKeyOfUnknownOutcome guards against releasing the key of a
// request that may have been executed.
func TestKeyedKeepsKeyOfUnknownOutcome(t *testing.T) {
	tb := newTestbed(t)
	a := tb.addUpstream("a", "natal", standin.UpstreamConfig{})
	tb.addUpstream("b", "natal", standin.UpstreamConfig{Slots: 2})
	k := upstream.NewKeyedForwarder(tb.newPool(nil), upstream.KeyedForwarderConfig{Store: &fakeStore{rows: map[savorystep.IdempotencyKey]*fakeAttempt{}}})
	a.SetFaults(standin.UpstreamFaults{CrashPath: "/echo"})
	_, err := k.Forward(t.Context(), keyedPost("r1", "/echo"))
	wantError(t, err, savorystep.KindOutcomeUnknown)
	_, err = k.Forward(t.Context(), keyedPost("r2", "/echo"))
	wantError(t, err, savorystep.KindInProgress)
	if runs := tb.runsOf("r1") + tb.runsOf("r2"); runs != 1 {
		t.Errorf("%d runs, want 1", runs)
	}
}

// A delayedStore stores responses only once allowStore is closed.
type delayedStore struct {
	*fakeStore
	allowStore chan struct{}
}

// A delayedAttempt is an attempt of a delayedStore.
type delayedAttempt struct {
	savorystep.KeyedAttempt
	allowStore chan struct{}
}

func (s *delayedStore) Begin(ctx context.Context, service savorystep.Service, key savorystep.IdempotencyKey, fingerprint savorystep.Fingerprint) (savorystep.KeyedAttempt, error) {
	attempt, err := s.fakeStore.Begin(ctx, service, key, fingerprint)
	if err != nil {
		return nil, err
	}
	return &delayedAttempt{KeyedAttempt: attempt, allowStore: s.allowStore}, nil
}

func (a *delayedAttempt) Complete(ctx context.Context, response savorystep.StoredResponse) error {
	<-a.allowStore
	return a.KeyedAttempt.Complete(ctx, response)
}

// TestKeyedRespondsBeforeStored guards against a caller that waits for the
// table although its response has arrived, against a second request with the
// key that gets a different response meanwhile, and against a stored response
// that shares its header with the one that the caller gets and modifies.
func TestKeyedRespondsBeforeStored(t *testing.T) {
	tb := newTestbed(t)
	a := tb.addUpstream("a", "natal", standin.UpstreamConfig{})
	store := &delayedStore{fakeStore: &fakeStore{rows: map[savorystep.IdempotencyKey]*fakeAttempt{}}, allowStore: make(chan struct{})}
	k := upstream.NewKeyedForwarder(tb.newPool(nil), upstream.KeyedForwarderConfig{Store: store})
	bodies := make([]string, 2)
	for i, id := range []savorystep.RequestID{"r1", "r2"} {
		response, err := k.Forward(t.Context(), keyedPost(id, "/echo"))
		if err != nil {
			t.Fatal(err)
		}
		if response.Header.Get("Content-Type") == "" {
			t.Error("the response has no Content-Type header")
		}
		response.Header.Del("Content-Type")
		bodies[i] = readAll(t, response)
	}
	other := keyedPost("r3", "/echo")
	other.Fingerprint++
	_, err := k.Forward(t.Context(), other)
	wantError(t, err, savorystep.KindKeyConflict)
	close(store.allowStore)
	k.Wait()
	if bodies[0] != bodies[1] || a.Stats().RunsByKey["key-1"] != 1 {
		t.Errorf("%d runs, want 1; bodies %q and %q, want equal ones", a.Stats().RunsByKey["key-1"], bodies[0], bodies[1])
	}
}

// An unavailableStore does not respond until the context ends.
type unavailableStore struct{}

func (unavailableStore) Begin(ctx context.Context, _ savorystep.Service, _ savorystep.IdempotencyKey, _ savorystep.Fingerprint) (savorystep.KeyedAttempt, error) {
	<-ctx.Done()
	return nil, savorystep.NewError(savorystep.KindPlatformDown, "no permission")
}

// TestKeyedRefusesBeforeDeadline guards against an error that arrives only at
// the deadline, so that the caller gives up before it learns that the request
// was not executed.
func TestKeyedRefusesBeforeDeadline(t *testing.T) {
	synctest.Test(t, checkKeyedRefusesBeforeDeadline)
}

func checkKeyedRefusesBeforeDeadline(t *testing.T) {
	k := upstream.NewKeyedForwarder(newTestbed(t).newPool(nil), upstream.KeyedForwarderConfig{Store: unavailableStore{}})
	request := keyedPost("r1", "/echo")
	request.Deadline = time.Now().Add(time.Second)
	ctx, cancel := context.WithDeadline(t.Context(), request.Deadline)
	defer cancel()
	_, err := k.Forward(ctx, request)
	wantError(t, err, savorystep.KindPlatformDown)
	if ctx.Err() != nil {
		t.Error("the error arrived only after the deadline")
	}
}
