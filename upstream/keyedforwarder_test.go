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
type fakeKeys struct {
	mu   sync.Mutex
	rows map[savorystep.IdempotencyKey]*fakeAttempt
}

// A fakeAttempt is a row of fakeKeys.
type fakeAttempt struct {
	keys     *fakeKeys
	key      savorystep.IdempotencyKey
	answer   *savorystep.StoredResponse
	returned *savorystep.StoredResponse
}

func (k *fakeKeys) Begin(_ context.Context, _ savorystep.Service, key savorystep.IdempotencyKey, _ savorystep.Fingerprint) (savorystep.KeyedAttempt, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	row := k.rows[key]
	switch {
	case row == nil:
		row = &fakeAttempt{keys: k, key: key}
		k.rows[key] = row
		return row, nil
	case row.answer != nil:
		return &fakeAttempt{returned: row.answer}, nil
	}
	return nil, savorystep.NewError(savorystep.KindInProgress, "the request runs")
}

func (a *fakeAttempt) StoredResponse() *savorystep.StoredResponse { return a.returned }

func (a *fakeAttempt) Complete(_ context.Context, answer savorystep.StoredResponse) error {
	a.keys.mu.Lock()
	defer a.keys.mu.Unlock()
	a.answer = &answer
	return nil
}

func (a *fakeAttempt) Release(context.Context) error {
	a.keys.mu.Lock()
	defer a.keys.mu.Unlock()
	delete(a.keys.rows, a.key)
	return nil
}

// keyed returns a request with a key.
func keyed(id savorystep.RequestID, path string) *savorystep.Request {
	request := post(id, path)
	request.IdempotencyKey = "key-1"
	return request
}

// TestKeyedOnce guards against a second run of a request with a key, and
// against a second answer that differs from the first.
func TestKeyedOnce(t *testing.T) {
	s := newSite(t)
	a := s.add("a", "natal", standin.UpstreamConfig{})
	k := upstream.NewKeyedForwarder(s.pool(nil), upstream.KeyedForwarderConfig{Keys: &fakeKeys{rows: map[savorystep.IdempotencyKey]*fakeAttempt{}}})
	bodies := make([]string, 2)
	for i, id := range []savorystep.RequestID{"r1", "r2"} {
		response, err := k.Forward(t.Context(), keyed(id, "/size/5000"))
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
func TestKeyedCallerLeaves(t *testing.T) {
	s := newSite(t)
	a := s.add("a", "natal", standin.UpstreamConfig{})
	k := upstream.NewKeyedForwarder(s.pool(nil), upstream.KeyedForwarderConfig{Keys: &fakeKeys{rows: map[savorystep.IdempotencyKey]*fakeAttempt{}}})
	a.SetFaults(standin.UpstreamFaults{Hold: true})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		s.eventually("the request runs", func() bool { return a.Runs().Keys["key-1"] == 1 })
		cancel()
	}()
	_, err := k.Forward(ctx, keyed("r1", "/echo"))
	wantError(t, err, savorystep.KindDeadlineExceeded)
	a.SetFaults(standin.UpstreamFaults{})
	k.Wait()
	response, err := k.Forward(t.Context(), keyed("r2", "/echo"))
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
func TestKeyedReleases(t *testing.T) {
	s := newSite(t)
	a := s.add("a", "natal", standin.UpstreamConfig{})
	keys := &fakeKeys{rows: map[savorystep.IdempotencyKey]*fakeAttempt{}}
	k := upstream.NewKeyedForwarder(s.pool(nil), upstream.KeyedForwarderConfig{Keys: keys})
	a.SetFaults(standin.UpstreamFaults{Shed: true})
	_, err := k.Forward(t.Context(), keyed("r1", "/echo"))
	wantError(t, err, savorystep.KindOverloaded)
	late := keyed("r2", "/echo")
	late.Deadline = time.Now().Add(-time.Second)
	_, err = k.Forward(t.Context(), late)
	if err == nil || savorystep.KindOf(err).Info().Execution == savorystep.Executed {
		t.Errorf("error %v after the deadline", err)
	}
	k.Wait()
	a.SetFaults(standin.UpstreamFaults{})
	response, err := k.Forward(t.Context(), keyed("r3", "/echo"))
	if err != nil {
		t.Fatal(err)
	}
	readAll(t, response)
}

// TestKeyedKeepsUnknown guards against a key given back for a request that may
// have run.
func TestKeyedKeepsUnknown(t *testing.T) {
	s := newSite(t)
	a := s.add("a", "natal", standin.UpstreamConfig{})
	s.add("b", "natal", standin.UpstreamConfig{Slots: 2})
	k := upstream.NewKeyedForwarder(s.pool(nil), upstream.KeyedForwarderConfig{Keys: &fakeKeys{rows: map[savorystep.IdempotencyKey]*fakeAttempt{}}})
	a.SetFaults(standin.UpstreamFaults{CrashPath: "/echo"})
	_, err := k.Forward(t.Context(), keyed("r1", "/echo"))
	wantError(t, err, savorystep.KindOutcomeUnknown)
	_, err = k.Forward(t.Context(), keyed("r2", "/echo"))
	wantError(t, err, savorystep.KindInProgress)
	if runs := s.runs("r1") + s.runs("r2"); runs != 1 {
		t.Errorf("%d runs", runs)
	}
}

// A slowKeys stores answers only when told to.
type slowKeys struct {
	*fakeKeys
	store chan struct{}
}

// A slowAttempt is an attempt of slowKeys.
type slowAttempt struct {
	savorystep.KeyedAttempt
	store chan struct{}
}

func (k *slowKeys) Begin(ctx context.Context, service savorystep.Service, key savorystep.IdempotencyKey, fingerprint savorystep.Fingerprint) (savorystep.KeyedAttempt, error) {
	attempt, err := k.fakeKeys.Begin(ctx, service, key, fingerprint)
	if err != nil {
		return nil, err
	}
	return &slowAttempt{KeyedAttempt: attempt, store: k.store}, nil
}

func (a *slowAttempt) Complete(ctx context.Context, answer savorystep.StoredResponse) error {
	<-a.store
	return a.KeyedAttempt.Complete(ctx, answer)
}

// TestKeyedAnswersBeforeStored guards against a caller that waits for the table
// although its answer is there, against a request that is sent again meanwhile
// and gets another answer than the first, and against a stored answer that
// shares its header with the one that the caller gets and changes.
func TestKeyedAnswersBeforeStored(t *testing.T) {
	s := newSite(t)
	a := s.add("a", "natal", standin.UpstreamConfig{})
	keys := &slowKeys{fakeKeys: &fakeKeys{rows: map[savorystep.IdempotencyKey]*fakeAttempt{}}, store: make(chan struct{})}
	k := upstream.NewKeyedForwarder(s.pool(nil), upstream.KeyedForwarderConfig{Keys: keys})
	bodies := make([]string, 2)
	for i, id := range []savorystep.RequestID{"r1", "r2"} {
		response, err := k.Forward(t.Context(), keyed(id, "/echo"))
		if err != nil {
			t.Fatal(err)
		}
		if response.Header.Get("Content-Type") == "" {
			t.Error("the answer has lost its header")
		}
		response.Header.Del("Content-Type")
		bodies[i] = readAll(t, response)
	}
	other := keyed("r3", "/echo")
	other.Fingerprint++
	_, err := k.Forward(t.Context(), other)
	wantError(t, err, savorystep.KindKeyConflict)
	close(keys.store)
	k.Wait()
	if bodies[0] != bodies[1] || a.Runs().Keys["key-1"] != 1 {
		t.Errorf("%d runs, bodies %q and %q", a.Runs().Keys["key-1"], bodies[0], bodies[1])
	}
}

// A downKeys waits for a platform that does not answer.
type downKeys struct{}

func (downKeys) Begin(ctx context.Context, _ savorystep.Service, _ savorystep.IdempotencyKey, _ savorystep.Fingerprint) (savorystep.KeyedAttempt, error) {
	<-ctx.Done()
	return nil, savorystep.NewError(savorystep.KindPlatformDown, "no permission")
}

// TestKeyedRefusesInTime guards against a refusal that comes with the deadline,
// so that its caller gives up before it learns that the request did not run.
func TestKeyedRefusesInTime(t *testing.T) {
	k := upstream.NewKeyedForwarder(newSite(t).pool(nil), upstream.KeyedForwarderConfig{Keys: downKeys{}})
	request := keyed("r1", "/echo")
	request.Deadline = time.Now().Add(time.Second)
	ctx, cancel := context.WithDeadline(t.Context(), request.Deadline)
	defer cancel()
	_, err := k.Forward(ctx, request)
	wantError(t, err, savorystep.KindPlatformDown)
	if ctx.Err() != nil {
		t.Error("the refusal came with the deadline")
	}
}
