package upstream_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"savorystep"
	"savorystep/standin"
	"savorystep/upstream"
)

// fakeKeys gives permission for each key once, in memory.
type fakeStore struct {
	mu   sync.Mutex
	rows map[savorystep.IdempotencyKey]*fakeAttempt
}

// A fakeAttempt is a row of fakeKeys.
type fakeAttempt struct {
	store    *fakeStore
	key      savorystep.IdempotencyKey
	answer   *savorystep.StoredResponse
	returned *savorystep.StoredResponse
}

func (k *fakeStore) Begin(_ context.Context, _ savorystep.Service, key savorystep.IdempotencyKey, _ savorystep.Fingerprint) (savorystep.KeyedAttempt, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	row := k.rows[key]
	switch {
	case row == nil:
		row = &fakeAttempt{store: k, key: key}
		k.rows[key] = row
		return row, nil
	case row.answer != nil:
		return &fakeAttempt{returned: row.answer}, nil
	}
	return nil, savorystep.NewError(savorystep.KindInProgress, "the request runs")
}

func (a *fakeAttempt) StoredResponse() *savorystep.StoredResponse { return a.returned }

func (a *fakeAttempt) Complete(_ context.Context, answer savorystep.StoredResponse) error {
	a.store.mu.Lock()
	defer a.store.mu.Unlock()
	a.answer = &answer
	return nil
}

func (a *fakeAttempt) Release(context.Context) error {
	a.store.mu.Lock()
	defer a.store.mu.Unlock()
	delete(a.store.rows, a.key)
	return nil
}

// keyed returns a request with a key.
func keyedPost(id savorystep.RequestID, path string) *savorystep.Request {
	request := post(id, path)
	request.IdempotencyKey = "key-1"
	return request
}

// TestKeyedOnce guards against a second run of a request with a key, and
// against a second answer that differs from the first.
func TestKeyedRunsOnce(t *testing.T) {
	s := newTestbed(t)
	a := s.addUpstream("a", "natal", standin.UpstreamConfig{})
	k := upstream.NewKeyedForwarder(s.newPool(nil), upstream.KeyedForwarderConfig{Store: &fakeStore{rows: map[savorystep.IdempotencyKey]*fakeAttempt{}}})
	bodies := make([]string, 2)
	for i, id := range []savorystep.RequestID{"r1", "r2"} {
		response, err := k.Forward(t.Context(), keyedPost(id, "/size/5000"))
		if err != nil {
			t.Fatal(err)
		}
		bodies[i] = readAll(t, response)
	}
	if bodies[0] != bodies[1] || len(bodies[0]) != 5000 {
		t.Error("the answers differ")
	}
	if runs := a.Runs().Keys["key-1"]; runs != 1 {
		t.Errorf("%d runs", runs)
	}
}

// TestKeyedCallerLeaves guards against an answer that is lost because its
// caller left while the request ran.
func TestKeyedCallerCancels(t *testing.T) {
	s := newTestbed(t)
	a := s.addUpstream("a", "natal", standin.UpstreamConfig{})
	k := upstream.NewKeyedForwarder(s.newPool(nil), upstream.KeyedForwarderConfig{Store: &fakeStore{rows: map[savorystep.IdempotencyKey]*fakeAttempt{}}})
	a.SetFaults(standin.UpstreamFaults{Hold: true})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		s.eventually("the request runs", func() bool { return a.Runs().Keys["key-1"] == 1 })
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
	if runs := a.Runs(); runs.Keys["key-1"] != 1 || runs.Cancelled != 0 {
		t.Errorf("runs %+v", runs)
	}
}

// TestKeyedReleases guards against a key that stays taken by a request that
// did not run.
func TestKeyedReleasesUnexecuted(t *testing.T) {
	s := newTestbed(t)
	a := s.addUpstream("a", "natal", standin.UpstreamConfig{})
	keys := &fakeStore{rows: map[savorystep.IdempotencyKey]*fakeAttempt{}}
	k := upstream.NewKeyedForwarder(s.newPool(nil), upstream.KeyedForwarderConfig{Store: keys})
	a.SetFaults(standin.UpstreamFaults{Shed: true})
	_, err := k.Forward(t.Context(), keyedPost("r1", "/echo"))
	wantError(t, err, savorystep.KindOverloaded)
	late := keyedPost("r2", "/echo")
	late.Deadline = time.Now().Add(-time.Second)
	_, err = k.Forward(t.Context(), late)
	if err == nil || savorystep.KindOf(err).Info().Execution == savorystep.Executed {
		t.Errorf("error %v after the deadline", err)
	}
	k.Wait()
	a.SetFaults(standin.UpstreamFaults{})
	response, err := k.Forward(t.Context(), keyedPost("r3", "/echo"))
	if err != nil {
		t.Fatal(err)
	}
	readAll(t, response)
}

// TestKeyedKeepsUnknown guards against a key given back for a request that may
// have run.
func TestKeyedKeepsKeyOfUnknownOutcome(t *testing.T) {
	s := newTestbed(t)
	a := s.addUpstream("a", "natal", standin.UpstreamConfig{})
	s.addUpstream("b", "natal", standin.UpstreamConfig{Slots: 2})
	k := upstream.NewKeyedForwarder(s.newPool(nil), upstream.KeyedForwarderConfig{Store: &fakeStore{rows: map[savorystep.IdempotencyKey]*fakeAttempt{}}})
	a.SetFaults(standin.UpstreamFaults{CrashPath: "/echo"})
	_, err := k.Forward(t.Context(), keyedPost("r1", "/echo"))
	wantError(t, err, savorystep.KindOutcomeUnknown)
	_, err = k.Forward(t.Context(), keyedPost("r2", "/echo"))
	wantError(t, err, savorystep.KindInProgress)
	if runs := s.runsOf("r1") + s.runsOf("r2"); runs != 1 {
		t.Errorf("%d runs", runs)
	}
}

// A slowKeys stores answers only when told to.
type delayedStore struct {
	*fakeStore
	allowStore chan struct{}
}

// A slowAttempt is an attempt of slowKeys.
type delayedAttempt struct {
	savorystep.KeyedAttempt
	allowStore chan struct{}
}

func (k *delayedStore) Begin(ctx context.Context, service savorystep.Service, key savorystep.IdempotencyKey, fingerprint savorystep.Fingerprint) (savorystep.KeyedAttempt, error) {
	attempt, err := k.fakeStore.Begin(ctx, service, key, fingerprint)
	if err != nil {
		return nil, err
	}
	return &delayedAttempt{KeyedAttempt: attempt, allowStore: k.allowStore}, nil
}

func (a *delayedAttempt) Complete(ctx context.Context, answer savorystep.StoredResponse) error {
	<-a.allowStore
	return a.KeyedAttempt.Complete(ctx, answer)
}

// TestKeyedAnswersBeforeStored guards against a caller that waits for the table
// although its answer is there, against a request that is sent again meanwhile
// and gets another answer than the first, and against a stored answer that
// shares its header with the one that the caller gets and changes.
func TestKeyedRespondsBeforeStored(t *testing.T) {
	s := newTestbed(t)
	a := s.addUpstream("a", "natal", standin.UpstreamConfig{})
	keys := &delayedStore{fakeStore: &fakeStore{rows: map[savorystep.IdempotencyKey]*fakeAttempt{}}, allowStore: make(chan struct{})}
	k := upstream.NewKeyedForwarder(s.newPool(nil), upstream.KeyedForwarderConfig{Store: keys})
	bodies := make([]string, 2)
	for i, id := range []savorystep.RequestID{"r1", "r2"} {
		response, err := k.Forward(t.Context(), keyedPost(id, "/echo"))
		if err != nil {
			t.Fatal(err)
		}
		if response.Header.Get("Content-Type") == "" {
			t.Error("the answer has lost its header")
		}
		response.Header.Del("Content-Type")
		bodies[i] = readAll(t, response)
	}
	other := keyedPost("r3", "/echo")
	other.Fingerprint++
	_, err := k.Forward(t.Context(), other)
	wantError(t, err, savorystep.KindKeyConflict)
	close(keys.allowStore)
	k.Wait()
	if bodies[0] != bodies[1] || a.Runs().Keys["key-1"] != 1 {
		t.Errorf("%d runs, bodies %q and %q", a.Runs().Keys["key-1"], bodies[0], bodies[1])
	}
}

// A downKeys waits for a platform that does not answer.
type unavailableStore struct{}

func (unavailableStore) Begin(ctx context.Context, _ savorystep.Service, _ savorystep.IdempotencyKey, _ savorystep.Fingerprint) (savorystep.KeyedAttempt, error) {
	<-ctx.Done()
	return nil, savorystep.NewError(savorystep.KindPlatformDown, "no permission")
}

// TestKeyedRefusesInTime guards against a refusal that comes with the deadline,
// so that its caller gives up before it learns that the request did not run.
func TestKeyedRefusesBeforeDeadline(t *testing.T) {
	k := upstream.NewKeyedForwarder(newTestbed(t).newPool(nil), upstream.KeyedForwarderConfig{Store: unavailableStore{}})
	request := keyedPost("r1", "/echo")
	request.Deadline = time.Now().Add(time.Second)
	ctx, cancel := context.WithDeadline(t.Context(), request.Deadline)
	defer cancel()
	_, err := k.Forward(ctx, request)
	wantError(t, err, savorystep.KindPlatformDown)
	if ctx.Err() != nil {
		t.Error("the refusal came with the deadline")
	}
}
