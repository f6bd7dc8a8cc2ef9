package upstream

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"savorystep"
)

var _ savorystep.Forwarder = &Quarantine{}

const (
	// quarantineStrikes is how many strikes quarantine a fingerprint.
	quarantineCrashes = 2
	// answeredStrikes is how many strikes quarantine a fingerprint that this
	// instance saw answered in the last minutes. A popular request may well
	// have run on both upstreams that another request killed.
	answeredQuarantineCrashes = 4
)

// A QuarantineConfig configures a Quarantine. Recorder may be nil.
type QuarantineConfig struct {
	Facts    savorystep.Facts
	Recorder savorystep.EventRecorder
	// Clock is savorystep.SystemClock by default.
	Clock savorystep.Clock
	Self  savorystep.InstanceID
	// PushTimeout bounds the wait for the peers' acknowledgements of a strike;
	// 200 ms by default.
	PushTimeout time.Duration
}

// A Quarantine keeps a request that kills the upstreams that run it from being
// sent to more than two of them, or four if it was answered in the last
// minutes. Strikes are pushed to peers before the
// request is answered or sent again.
type Quarantine struct {
	next     savorystep.Forwarder
	config   QuarantineConfig
	crashes  *crashTable
	locks    *fingerprintLocks
	answered *recentlyAnswered
}

// NewQuarantine returns a quarantine in front of another forwarder, which must
// pass its context on to a Pool.
func NewQuarantine(next savorystep.Forwarder, config QuarantineConfig) *Quarantine {
	if config.Clock == nil {
		config.Clock = savorystep.SystemClock{}
	}
	setDefault(&config.PushTimeout, 200*time.Millisecond)
	q := &Quarantine{next: next, config: config, crashes: newCrashTable(), locks: newFingerprintLocks(), answered: newRecentlyAnswered()}
	config.Facts.Subscribe(savorystep.FactCrash, q.handleCrashes)
	for _, fact := range config.Facts.Facts(savorystep.FactCrash) {
		q.handleCrashes(fact)
	}
	return q
}

// hear takes note of a peer's strikes.
func (q *Quarantine) handleCrashes(fact savorystep.ReceivedFact) {
	if fact.Instance == q.config.Self {
		return
	}
	key, err := strconv.ParseUint(fact.Subject, 16, 64)
	var body savorystep.CrashFact
	if err != nil || cbor.Unmarshal(fact.Body, &body) != nil {
		return
	}
	if body.Cleared {
		q.crashes.clear(savorystep.Fingerprint(key))
		return
	}
	q.crashes.addFromPeer(savorystep.Fingerprint(key), body.Endpoints, fact.ReceivedAt)
}

// Forward runs a request unless its fingerprint is quarantined. A request
// whose fingerprint has a strike runs alone.
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
	response, err := q.next.Forward(options.withContext(ctx), request)
	if err != nil {
		a.releaseLock()
		return nil, err
	}
	response.Body = &notifyingBody{ReadCloser: response.Body, onEnd: a.releaseLock, onComplete: a.onAnswered}
	return response, nil
}

// A turn is one request's way through the quarantine.
type admission struct {
	quarantine *Quarantine
	request    *savorystep.Request
	mu         sync.Mutex
	unlock     func()
	// began is when the last attempt was let through.
	attemptStart time.Time
}

// enter returns an error if the fingerprint is quarantined. With one strike it
// waits until no other request with the fingerprint runs. It is called before
// each attempt after the first as well.
func (a *admission) beforeAttempt(ctx context.Context) error {
	if err := a.awaitLock(ctx); err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.attemptStart = a.quarantine.config.Clock.Now()
	return nil
}

// start returns when the last attempt was let through.
func (a *admission) lastAttemptStart() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.attemptStart
}

// admit waits for the turn of the request and refuses it if its fingerprint is
// quarantined.
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
			return savorystep.WrapError(savorystep.KindOverloaded, err, "a request like this one still runs alone after the death of an upstream")
		}
		a.mu.Lock()
		a.unlock = unlock
		a.mu.Unlock()
		crashes = q.crashes.total(key, q.config.Clock.Now())
	}
	if crashes >= limit {
		a.releaseLock()
		return savorystep.NewError(savorystep.KindQuarantined, "upstreams died while they ran requests like this one")
	}
	return nil
}

// limit returns how many strikes quarantine a fingerprint.
func (q *Quarantine) crashLimit(key savorystep.Fingerprint) int {
	if q.answered.has(key, q.config.Clock.Now()) {
		return answeredQuarantineCrashes
	}
	return quarantineCrashes
}

// alone reports whether the request holds its fingerprint's lock.
func (a *admission) holdsLock() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.unlock != nil
}

// end lets the next request with the fingerprint run.
func (a *admission) releaseLock() {
	a.mu.Lock()
	unlock := a.unlock
	a.unlock = nil
	a.mu.Unlock()
	if unlock != nil {
		unlock()
	}
}

// answered clears the strikes of the fingerprint if the answered attempt began
// after the last one. A request that kills upstreams is never answered, while
// one that was in flight by chance when upstreams died soon is.
func (a *admission) onAnswered() {
	q, key := a.quarantine, a.request.Fingerprint
	q.answered.add(key, q.config.Clock.Now())
	if !q.crashes.clearBefore(key, a.lastAttemptStart()) {
		return
	}
	q.config.Facts.Publish(savorystep.FactCrash, factSubject(key), savorystep.CrashFact{Cleared: true})
	log.Infof("fingerprint %s was answered, its strikes are cleared", factSubject(key))
}

// subjectOf returns the subject of facts about a fingerprint.
func factSubject(key savorystep.Fingerprint) string {
	return strconv.FormatUint(uint64(key), 16)
}

// died counts a strike and tells the peers, at most for the time of a push. The
// death of an attempt that began before the last strike that this instance saw
// itself counts for nothing: when a zone fails, endpoints die together, whatever
// they run.
func (a *admission) onEndpointCrashed(endpoint savorystep.EndpointID) {
	q, key := a.quarantine, a.request.Fingerprint
	if q.crashes.ownCrashSince(key, a.lastAttemptStart()) {
		log.Warningf("endpoint %s died with request %s, which began before the last strike", endpoint, a.request.ID)
		return
	}
	ownCrashes := q.crashes.addOwn(key, endpoint, q.config.Clock.Now())
	ctx, cancel := context.WithTimeout(context.Background(), q.config.PushTimeout)
	defer cancel()
	subject := factSubject(key)
	acked, missing := q.config.Facts.Broadcast(ctx, savorystep.FactCrash, subject, savorystep.CrashFact{Endpoints: ownCrashes})
	log.Warningf("endpoint %s died while it ran request %s", endpoint, a.request.ID)
	if q.config.Recorder != nil {
		q.config.Recorder.Record(savorystep.Event{
			Kind: savorystep.EventQuarantine, Service: a.request.Service, Request: a.request.ID,
			Text: fmt.Sprintf("endpoint %s died while it ran fingerprint %s, %d peers know it and %d do not", endpoint, subject, acked, missing),
		})
	}
}
