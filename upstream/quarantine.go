package upstream

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"savorystep"
)

var _ savorystep.Forwarder = &Quarantine{}

const (
	// quarantineCrashes is the number of crashes that quarantine a fingerprint.
	quarantineCrashes = 2
	// answeredQuarantineCrashes is the number of crashes that quarantine a
	// fingerprint to which this instance saw a response in the last minutes. A
	// popular request may well have been running on both upstreams that another
	// request crashed.
	answeredQuarantineCrashes = 4
)

// A QuarantineConfig configures a Quarantine. Recorder may be nil.
type QuarantineConfig struct {
	Facts    savorystep.Facts
	Recorder savorystep.EventRecorder
	// Clock defaults to savorystep.SystemClock.
	Clock savorystep.Clock
	Self  savorystep.InstanceID
	// BroadcastTimeout bounds the wait for the peers' acknowledgements of a
	// crash; 200 ms by default.
	BroadcastTimeout time.Duration
}

// A Quarantine stops forwarding a request that crashes the upstreams that run
// it, after two crashes or, if the request got a response in the last minutes,
// after four. A crash is broadcast to the peers before the request is answered
// or sent again.
type Quarantine struct {
	next     savorystep.Forwarder
	config   QuarantineConfig
	crashes  *crashTable
	locks    *fingerprintLocks
	answered *RecentlyAnswered
	// unsaved are saved by a CrashKeeper, if there is one.
	unsaved *unsavedCrashes
	// isLogApplied is set once the crashes of the log are applied.
	isLogApplied atomic.Bool
}

// NewQuarantine returns a quarantine around another forwarder, which must pass
// its context on to a Pool.
func NewQuarantine(next savorystep.Forwarder, config QuarantineConfig) *Quarantine {
	if config.Clock == nil {
		config.Clock = savorystep.SystemClock{}
	}
	setDefault(&config.BroadcastTimeout, 200*time.Millisecond)
	q := &Quarantine{next: next, config: config, crashes: newCrashTable(), locks: newFingerprintLocks(), answered: NewRecentlyAnswered(), unsaved: newUnsavedCrashes()}
	config.Facts.Subscribe(savorystep.FactCrash, q.handleCrashes)
	for _, fact := range config.Facts.Facts(savorystep.FactCrash) {
		q.handleCrashes(fact)
	}
	return q
}

// handleCrashes records the crashes that a peer observed.
func (q *Quarantine) handleCrashes(fact savorystep.ReceivedFact) {
	if fact.Instance == q.config.Self {
		return
	}
	key, err := savorystep.ParseFingerprint(fact.Subject)
	var body savorystep.CrashFact
	if err != nil || cbor.Unmarshal(fact.Body, &body) != nil {
		return
	}
	if body.Cleared {
		q.crashes.clear(key)
		q.unsaved.mark(key) // The keeper removes it from the crash log.
		return
	}
	q.crashes.addFromPeer(key, body.Endpoints, fact.ReceivedAt)
	q.markUnsaved(key)
}

// Forward forwards a request unless its fingerprint is quarantined. A request
// whose fingerprint has a recorded crash runs alone.
func (q *Quarantine) Forward(ctx context.Context, request *savorystep.Request) (*savorystep.Response, error) {
	a := &admission{quarantine: q, request: request}
	waitCtx, cancel := withDeadline(ctx, request.Deadline)
	defer cancel()
	if err := a.beforeAttempt(waitCtx); err != nil {
		return nil, err
	}
	options := optionsFrom(ctx)
	options.onEndpointCrashed = a.onEndpointCrashed
	options.beforeRetry = a.beforeAttempt
	isPassedOn := false
	defer func() {
		if !isPassedOn {
			a.releaseLock()
		}
	}()
	response, err := q.next.Forward(options.withContext(ctx), request)
	if err != nil {
		return nil, err
	}
	isPassedOn = true
	response.Body = &notifyingBody{ReadCloser: response.Body, onEnd: a.releaseLock, onComplete: a.onAnswered}
	return response, nil
}

// An admission is the passage of one request through the quarantine.
type admission struct {
	quarantine *Quarantine
	request    *savorystep.Request
	mu         sync.Mutex
	unlock     func()
	// attemptStart is when the last attempt was admitted.
	attemptStart time.Time
}

// beforeAttempt returns an error if the fingerprint is quarantined. If it has a
// recorded crash, beforeAttempt waits until no other request with the
// fingerprint runs. It is called before the first attempt and before each
// retry.
func (a *admission) beforeAttempt(ctx context.Context) error {
	if err := a.awaitLock(ctx); err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.attemptStart = a.quarantine.config.Clock.Now()
	return nil
}

// lastAttemptStart returns when the last attempt was admitted.
func (a *admission) lastAttemptStart() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.attemptStart
}

// awaitLock waits for the fingerprint's lock if there is a recorded crash, and
// returns an error if the fingerprint is quarantined.
func (a *admission) awaitLock(ctx context.Context) error {
	q, key := a.quarantine, a.request.Fingerprint
	crashes := q.crashes.total(key, q.config.Clock.Now())
	if crashes == 0 {
		return nil
	}
	limit := q.crashLimit(key)
	if crashes < limit && !a.holdsLock() {
		unlock, err := q.locks.lock(ctx, key)
		if err != nil {
			return savorystep.WrapError(savorystep.KindOverloaded, err, "another request with this fingerprint still runs, and one at a time is allowed after an upstream crashed")
		}
		a.mu.Lock()
		a.unlock = unlock
		a.mu.Unlock()
		crashes = q.crashes.total(key, q.config.Clock.Now())
	}
	if crashes >= limit {
		a.releaseLock()
		return savorystep.NewError(savorystep.KindQuarantined, "%d upstreams crashed while they ran requests with this fingerprint, the limit is %d", crashes, limit)
	}
	return nil
}

// crashLimit returns the number of crashes that quarantine a fingerprint.
func (q *Quarantine) crashLimit(key savorystep.Fingerprint) int {
	if q.answered.Has(key, q.config.Clock.Now()) {
		return answeredQuarantineCrashes
	}
	return quarantineCrashes
}

// holdsLock reports whether the request holds its fingerprint's lock.
func (a *admission) holdsLock() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.unlock != nil
}

// releaseLock releases the fingerprint's lock if the request holds it.
func (a *admission) releaseLock() {
	a.mu.Lock()
	unlock := a.unlock
	a.unlock = nil
	a.mu.Unlock()
	if unlock != nil {
		unlock()
	}
}

// onAnswered clears the crashes of the fingerprint if the successful attempt
// started after the last one. A request that crashes upstreams never gets a
// response, while one that happened to be in flight when upstreams crashed soon
// does.
func (a *admission) onAnswered() {
	q, key := a.quarantine, a.request.Fingerprint
	q.answered.Add(key, q.config.Clock.Now())
	if !q.crashes.clearBefore(key, a.lastAttemptStart()) {
		return
	}
	q.unsaved.mark(key) // The keeper removes it from the crash log.
	q.config.Facts.Publish(savorystep.FactCrash, key.String(), savorystep.CrashFact{Cleared: true})
	log.Infof("request with fingerprint %s got a response, its recorded crashes are cleared", key.String())
}

// onEndpointCrashed records a crash and broadcasts it to the peers, for
// BroadcastTimeout at most. A crash is ignored if the attempt started before
// the last crash that this instance observed itself: when an availability zone
// fails, its endpoints crash together, whatever they run.
func (a *admission) onEndpointCrashed(crashed savorystep.Endpoint) {
	q, key, endpoint := a.quarantine, a.request.Fingerprint, crashed.IncarnationID()
	if q.crashes.ownCrashSince(key, a.lastAttemptStart()) {
		log.Warningf("endpoint %s crashed with request %s, not counted because the attempt started before the last crash", endpoint, a.request.ID)
		return
	}
	ownCrashes := q.crashes.addOwn(key, endpoint, q.config.Clock.Now())
	q.markUnsaved(key)
	ctx, cancel := context.WithTimeout(context.Background(), q.config.BroadcastTimeout)
	defer cancel()
	subject := key.String()
	acked, missing := q.config.Facts.Broadcast(ctx, savorystep.FactCrash, subject, savorystep.CrashFact{Endpoints: ownCrashes})
	log.Warningf("endpoint %s crashed while it ran request %s", endpoint, a.request.ID)
	if q.config.Recorder != nil {
		q.config.Recorder.Record(savorystep.Event{
			Kind: savorystep.EventQuarantine, Service: a.request.Service, Request: a.request.ID,
			Text: fmt.Sprintf("endpoint %s died while it ran fingerprint %s, %d peers know it and %d do not", endpoint, subject, acked, missing),
		})
	}
}
