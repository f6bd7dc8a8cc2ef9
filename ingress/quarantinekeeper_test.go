package ingress_test

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"savorystep"
	"savorystep/endpoint"
	"savorystep/http1"
	"savorystep/ingress"
)

// A memoryCrashLog is a crash log in memory.
type memoryCrashLog struct {
	mu      sync.Mutex
	crashes []savorystep.RequestCrashes
	// isAway is true while calls fail.
	isAway        bool
	reads, writes int
}

var _ savorystep.CrashLog = &memoryCrashLog{}

func (l *memoryCrashLog) Edit(_ context.Context, edit func([]savorystep.RequestCrashes) ([]savorystep.RequestCrashes, bool)) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isAway {
		return savorystep.NewError(savorystep.KindPlatformDown, "away")
	}
	l.reads++
	if edited, isChanged := edit(slices.Clone(l.crashes)); isChanged {
		l.crashes = edited
		l.writes++
	}
	return nil
}

func (l *memoryCrashLog) setAway(isAway bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isAway = isAway
}

func (l *memoryCrashLog) set(crashes []savorystep.RequestCrashes) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashes = slices.Clone(crashes)
}

func (l *memoryCrashLog) all() []savorystep.RequestCrashes {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.crashes)
}

// A keptInstance is an instance whose quarantine is kept in a crash log.
type keptInstance struct {
	proxy      *ingress.Proxy
	quarantine *ingress.Quarantine
	era        atomic.Uint32
}

// startKeptInstance starts an instance with endpoints that requests for poison crash. It
// ends with the test.
func startKeptInstance(t *testing.T, log savorystep.CrashLog, transport ingress.Transport, facts savorystep.Facts) *keptInstance {
	t.Helper()
	_, _, router := newTestProxy(t, "ok")
	router.WithTable(func(table *endpoint.Table) {
		for _, id := range []savorystep.EndpointID{"a", "b", "c"} {
			table.Remove(time.Now(), id) // Their address is none that refuses connections.
		}
		for i := range 20 {
			table.Put(time.Now(), savorystep.Endpoint{
				ID: savorystep.EndpointID("e" + string(rune('a'+i))), Service: "s", State: savorystep.StateLive, Slots: 50, StartedAtMillis: 1, ReportSequence: 2, WrittenVersion: 3,
				Address: "127.0.0.1:1", Place: savorystep.Place{Zone: "z"},
			})
		}
	})
	// Endpoints that don't have the object cached are expected to answer in time, too.
	route := *router.Routing().Match("h", "/once/x")
	route.Timeout = 2 * time.Second
	router.SetRouting(savorystep.NewRouting(2, []*savorystep.Route{&route}, map[savorystep.Service]savorystep.ServiceSpec{"s": {Name: "s"}}, savorystep.ClientLimits{HeaderBytes: 4096, BodyBytes: 1000}))
	instance := &keptInstance{quarantine: ingress.NewQuarantine(facts, log)}
	instance.proxy = ingress.NewProxy(ingress.ProxyConfig{
		Clock: savorystep.SystemClock{}, HeaderNames: names, Endings: ingress.NewEndings(facts, router), Leavings: ingress.NewLeavings(facts, router), Notices: noticeDecoder{}, Quarantine: instance.quarantine, RateLimits: ingress.NewRateLimits(facts, router),
		Transport: transport, Router: router,
	})
	keeper := ingress.NewQuarantineKeeper(ingress.QuarantineKeeperConfig{
		Clock: savorystep.SystemClock{}, CrashLog: log, Quarantine: instance.quarantine,
		StoreEra: func() savorystep.StoreEra { return savorystep.StoreEra(instance.era.Load()) },
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := keeper.Start(ctx)
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return instance
}

// await waits until a condition holds.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within 30 s: %s", what)
		}
	}
}

// countQuarantined returns the number of requests that an instance does not forward.
func (i *keptInstance) countQuarantined() int {
	return len(i.quarantine.Quarantined(time.Now()))
}

// quarantinePoison lets an instance quarantine the poisonous request.
func quarantinePoison(t *testing.T, instance *keptInstance) {
	t.Helper()
	for range 4 {
		sendRequest(t, instance.proxy, "/once/poison")
	}
	if instance.countQuarantined() != 1 {
		t.Fatal("the request is not quarantined")
	}
}

// A poisonTransport simulates endpoints that crash when they run a request for poison and
// start again at once.
type poisonTransport struct {
	runs atomic.Int64
	// isHarmless is true if the request crashes no endpoint any more.
	isHarmless atomic.Bool
}

func (t *poisonTransport) Exchange(_ context.Context, _ savorystep.Endpoint, r *http1.Request) (*http1.Response, error) {
	if strings.Contains(r.Target, "poison") {
		t.runs.Add(1)
		if !t.isHarmless.Load() {
			return nil, &http1.ExchangeError{Stage: http1.StageSent, ClosedByEndpoint: true, Cause: io.EOF}
		}
	}
	return &http1.Response{Status: http.StatusOK, Header: http.Header{"Signature": {"s"}}}, nil
}

// TestQuarantineIsKept guards against a quarantine that is forgotten when all instances
// have ended: at once, while the store is away, and after the store came back from a copy
// that lacks it.
func TestQuarantineIsKept(t *testing.T) {
	tests := []struct {
		name string
		// between is called after the first instance has quarantined the request and
		// before the next one starts.
		between func(log *memoryCrashLog, first *keptInstance)
		// after is called after the next one has started.
		after func(log *memoryCrashLog)
	}{
		{name: "saved", between: func(*memoryCrashLog, *keptInstance) {}},
		{name: "store away at the crash", between: func(log *memoryCrashLog, _ *keptInstance) { log.setAway(false) }},
		{name: "store away at the start", between: func(log *memoryCrashLog, _ *keptInstance) {
			await(t, "saved", func() bool { return isSaved(log) })
			log.setAway(true)
		}, after: func(log *memoryCrashLog) { log.setAway(false) }},
		{name: "store restored", between: func(log *memoryCrashLog, first *keptInstance) {
			await(t, "saved", func() bool { return isSaved(log) })
			log.set(nil)
			first.era.Store(2)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			log, transport := &memoryCrashLog{isAway: test.name == "store away at the crash"}, &poisonTransport{}
			first := startKeptInstance(t, log, transport, &fakeFacts{})
			quarantinePoison(t, first)
			test.between(log, first)
			await(t, "saved", func() bool { return isSaved(log) })
			runs := transport.runs.Load()
			next := startKeptInstance(t, log, transport, &fakeFacts{})
			if test.after != nil {
				test.after(log)
			}
			await(t, "known to the next instance", func() bool { return next.countQuarantined() == 1 })
			checkNamesCrashes(t, next)
			if status := sendRequest(t, next.proxy, "/once/poison"); status != http.StatusServiceUnavailable {
				t.Errorf("status %d, want 503", status)
			}
			if got := transport.runs.Load(); got != runs {
				t.Errorf("%d runs, want %d", got, runs)
			}
		})
	}
}

// checkNamesCrashes fails the test unless an instance that saw none of the crashes names
// the request and the endpoints that crashed, of which one may have crashed twice.
func checkNamesCrashes(t *testing.T, instance *keptInstance) {
	t.Helper()
	list := instance.quarantine.Quarantined(time.Now())
	if len(list) != 1 || len(list[0].Endpoints) < 2 || list[0].Request != "GET h/once/poison" || list[0].LastCrash.IsZero() {
		t.Errorf("quarantined %+v, want the request with its endpoints and the time of the last crash", list)
	}
}

// isSaved reports whether the log has three crashes in a row of a request.
func isSaved(log *memoryCrashLog) bool {
	crashes := log.all()
	return len(crashes) == 1 && crashes[0].Streak == 3 && strings.Contains(crashes[0].Request, "GET h/once/poison")
}

// TestClearedQuarantineStaysCleared guards against a request that stays or is again
// quarantined, at any instance or after a start, although an operator has cleared its
// crashes.
func TestClearedQuarantineStaysCleared(t *testing.T) {
	log, transport, facts := &memoryCrashLog{}, &poisonTransport{}, &fakeFacts{}
	first, second := startKeptInstance(t, log, transport, facts), startKeptInstance(t, log, transport, facts)
	quarantinePoison(t, first)
	await(t, "saved", func() bool { return isSaved(log) })
	checkNamesCrashes(t, second)
	transport.isHarmless.Store(true)
	second.quarantine.Clear(time.Now(), first.quarantine.Quarantined(time.Now())[0].Fingerprint)
	await(t, "removed from the log", func() bool { return len(log.all()) == 0 })
	later := startKeptInstance(t, log, transport, facts)
	for i, instance := range []*keptInstance{first, second, later} {
		if status := sendRequest(t, instance.proxy, "/once/poison"); status != http.StatusOK || instance.countQuarantined() != 0 {
			t.Errorf("instance %d: status %d, want 200", i, status)
		}
	}
}

// TestSavedCrashesExpire guards against a quarantine that does not end, or ends early,
// because the clocks of instances differ, and against odd entries of the log.
func TestSavedCrashesExpire(t *testing.T) {
	now := time.Now()
	log := &memoryCrashLog{crashes: []savorystep.RequestCrashes{
		{Fingerprint: 1, Streak: 3, LastCrashMillis: now.Add(-11 * time.Minute).UnixMilli()},
		{Fingerprint: 2, Streak: 3, LastCrashMillis: now.Add(-9 * time.Minute).UnixMilli()},
		{Fingerprint: 3, Streak: 3, LastCrashMillis: now.Add(time.Hour).UnixMilli()},
		{Fingerprint: 4, Streak: 2, LastCrashMillis: now.UnixMilli()},
		{Fingerprint: 5, Streak: -1 << 62, LastCrashMillis: now.UnixMilli()},
		{Fingerprint: 6, Streak: 1 << 62, LastCrashMillis: -1 << 63},
		{Fingerprint: 7, Streak: 3, LastCrashMillis: 1<<63 - 1},
		{Fingerprint: 2, Streak: 1, LastCrashMillis: now.UnixMilli()},
	}}
	instance := startKeptInstance(t, log, &poisonTransport{}, &fakeFacts{})
	await(t, "read", func() bool { return instance.countQuarantined() > 0 })
	var got []savorystep.Fingerprint
	for _, r := range instance.quarantine.Quarantined(now) {
		got = append(got, r.Fingerprint)
		if left := r.Until.Sub(now); left > 10*time.Minute+time.Second {
			t.Errorf("quarantine of %v lasts %v, want 10 min at most", r.Fingerprint, left)
		}
	}
	if want := []savorystep.Fingerprint{2, 3, 7}; !slices.Equal(got, want) {
		t.Errorf("quarantined %v, want %v", got, want)
	}
}

// TestFirstCrashIsNotSaved guards against a call of the store for each request that was
// in flight at an endpoint that crashed.
func TestFirstCrashIsNotSaved(t *testing.T) {
	log := &memoryCrashLog{}
	instance := startKeptInstance(t, log, &poisonTransport{}, &fakeFacts{})
	await(t, "read", func() bool { log.mu.Lock(); defer log.mu.Unlock(); return log.reads == 1 })
	for _, path := range []string{"/once/poison1", "/once/poison2", "/once/poison3"} {
		sendRequest(t, instance.proxy, path)
	}
	time.Sleep(50 * time.Millisecond)
	if log.mu.Lock(); log.reads != 1 || log.writes != 0 {
		t.Errorf("%d reads and %d writes, want 1 and 0", log.reads, log.writes)
	}
	log.mu.Unlock()
}

// TestNoReadAtFirstStart guards against a call of the store by each instance when the
// system starts for the first time, and against crashes that are not saved after that.
func TestNoReadAtFirstStart(t *testing.T) {
	log, quarantine := &memoryCrashLog{}, ingress.NewQuarantine(&fakeFacts{}, nil)
	keeper := ingress.NewQuarantineKeeper(ingress.QuarantineKeeperConfig{
		Clock: savorystep.SystemClock{}, CrashLog: log, Quarantine: quarantine, FirstStart: true,
		StoreEra: func() savorystep.StoreEra { return 0 },
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := keeper.Start(ctx)
	time.Sleep(50 * time.Millisecond)
	log.mu.Lock()
	reads := log.reads
	log.mu.Unlock()
	if reads != 0 {
		t.Errorf("%d reads, want none", reads)
	}
	quarantine.Clear(time.Now(), 1)
	await(t, "read after a change", func() bool { log.mu.Lock(); defer log.mu.Unlock(); return log.reads > 0 })
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// A hookedCrashLog calls a function once after an edit.
type hookedCrashLog struct {
	*memoryCrashLog
	afterEdit func()
}

func (l *hookedCrashLog) Edit(ctx context.Context, edit func([]savorystep.RequestCrashes) ([]savorystep.RequestCrashes, bool)) error {
	err := l.memoryCrashLog.Edit(ctx, edit)
	l.mu.Lock()
	hook := l.afterEdit
	l.afterEdit = nil
	l.mu.Unlock()
	if hook != nil {
		hook()
	}
	return err
}

// A memberFacts delivers the facts of one instance to the other one, as the exchange
// between instances does, and not to itself.
type memberFacts struct {
	fakeFacts

	other *memberFacts
}

func (f *memberFacts) Publish(kind savorystep.FactKind, subject string, body any) {
	f.other.fakeFacts.Publish(kind, subject, body)
}

// TestClearedDuringClaim guards against a request that is quarantined again because
// another instance saw it answered while this one claimed a probe, and this one then
// published the crashes of before.
func TestClearedDuringClaim(t *testing.T) {
	transport, log := &inTurnTransport{}, &hookedCrashLog{memoryCrashLog: &memoryCrashLog{}}
	ofFirst, ofSecond := &memberFacts{}, &memberFacts{}
	ofFirst.other, ofSecond.other = ofSecond, ofFirst
	first, second := startKeptInstance(t, log, transport, ofFirst), startKeptInstance(t, &memoryCrashLog{}, transport, ofSecond)
	send := func() int { return sendRequest(t, first.proxy, "/once/busy") }
	if status := send(); status != http.StatusOK {
		t.Fatalf("status %d before the failures, want 200", status)
	}
	transport.failNext(3)
	await(t, "quarantined", func() bool { send(); return first.countQuarantined() == 1 })
	await(t, "saved", func() bool { return len(log.all()) == 1 && log.all()[0].Streak == 3 })
	key := first.quarantine.Quarantined(time.Now())[0].Fingerprint
	log.mu.Lock()
	log.afterEdit = func() { second.quarantine.Clear(time.Now(), key) }
	log.mu.Unlock()
	await(t, "sent after the claim", func() bool { time.Sleep(20 * time.Millisecond); return send() == http.StatusOK })
	if first.countQuarantined()+second.countQuarantined() != 0 {
		t.Error("the request is quarantined after it was cleared and answered")
	}
}
