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
	quarantineStrikes = 2
	// answeredStrikes is how many strikes quarantine a fingerprint that this
	// instance saw answered in the last minutes. A popular request may well
	// have run on both upstreams that another request killed.
	answeredQuarantineStrikes = 4
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
	strikes  *strikes
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
	q := &Quarantine{next: next, config: config, strikes: newStrikes(), locks: newFingerprintLocks(), answered: newRecentlyAnswered()}
	config.Facts.Subscribe(savorystep.FactCrash, q.handleStrikes)
	for _, fact := range config.Facts.Facts(savorystep.FactCrash) {
		q.handleStrikes(fact)
	}
	return q
}

// hear takes note of a peer's strikes.
func (q *Quarantine) handleStrikes(fact savorystep.ReceivedFact) {
	if fact.Instance == q.config.Self {
		return
	}
	key, err := strconv.ParseUint(fact.Subject, 16, 64)
	var body savorystep.CrashFact
	if err != nil || cbor.Unmarshal(fact.Body, &body) != nil {
		return
	}
	if body.Cleared {
		q.strikes.clear(savorystep.Fingerprint(key))
		return
	}
	q.strikes.addFromPeer(savorystep.Fingerprint(key), body.Endpoints, fact.ReceivedAt)
}

// Forward runs a request unless its fingerprint is quarantined. A request
// whose fingerprint has a strike runs alone.
func (q *Quarantine) Forward(ctx context.Context, request *savorystep.Request) (*savorystep.Response, error) {
	t := &admission{quarantine: q, request: request}
	waitCtx, cancel := withDeadline(ctx, request.Deadline)
	defer cancel()
	if err := t.beforeAttempt(waitCtx); err != nil {
		return nil, err
	}
	r := optionsFrom(ctx)
	r.onEndpointDied = t.onEndpointDied
	r.beforeRetry = t.beforeAttempt
	response, err := q.next.Forward(r.with(ctx), request)
	if err != nil {
		t.releaseLock()
		return nil, err
	}
	response.Body = &notifyingBody{ReadCloser: response.Body, onEnd: t.releaseLock, onComplete: t.onAnswered}
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
func (t *admission) beforeAttempt(ctx context.Context) error {
	if err := t.awaitLock(ctx); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.attemptStart = t.quarantine.config.Clock.Now()
	return nil
}

// start returns when the last attempt was let through.
func (t *admission) lastAttemptStart() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.attemptStart
}

// admit waits for the turn of the request and refuses it if its fingerprint is
// quarantined.
func (t *admission) awaitLock(ctx context.Context) error {
	q, key := t.quarantine, t.request.Fingerprint
	total := q.strikes.total(key, q.config.Clock.Now())
	if total == 0 {
		return nil
	}
	limit := q.strikeLimit(key)
	if total < limit && !t.holdsLock() {
		unlock, err := q.locks.lock(ctx, key)
		if err != nil {
			return savorystep.WrapError(savorystep.KindOverloaded, err, "a request like this one still runs alone after the death of an upstream")
		}
		t.mu.Lock()
		t.unlock = unlock
		t.mu.Unlock()
		total = q.strikes.total(key, q.config.Clock.Now())
	}
	if total >= limit {
		t.releaseLock()
		return savorystep.NewError(savorystep.KindQuarantined, "upstreams died while they ran requests like this one")
	}
	return nil
}

// limit returns how many strikes quarantine a fingerprint.
func (q *Quarantine) strikeLimit(key savorystep.Fingerprint) int {
	if q.answered.has(key, q.config.Clock.Now()) {
		return answeredQuarantineStrikes
	}
	return quarantineStrikes
}

// alone reports whether the request holds its fingerprint's lock.
func (t *admission) holdsLock() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.unlock != nil
}

// end lets the next request with the fingerprint run.
func (t *admission) releaseLock() {
	t.mu.Lock()
	unlock := t.unlock
	t.unlock = nil
	t.mu.Unlock()
	if unlock != nil {
		unlock()
	}
}

// answered clears the strikes of the fingerprint if the answered attempt began
// after the last one. A request that kills upstreams is never answered, while
// one that was in flight by chance when upstreams died soon is.
func (t *admission) onAnswered() {
	q, key := t.quarantine, t.request.Fingerprint
	q.answered.add(key, q.config.Clock.Now())
	if !q.strikes.clearBefore(key, t.lastAttemptStart()) {
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
func (t *admission) onEndpointDied(endpoint savorystep.EndpointID) {
	q, key := t.quarantine, t.request.Fingerprint
	if q.strikes.ownDeathSince(key, t.lastAttemptStart()) {
		log.Warningf("endpoint %s died with request %s, which began before the last strike", endpoint, t.request.ID)
		return
	}
	own := q.strikes.addOwn(key, endpoint, q.config.Clock.Now())
	ctx, cancel := context.WithTimeout(context.Background(), q.config.PushTimeout)
	defer cancel()
	subject := factSubject(key)
	acked, missing := q.config.Facts.Broadcast(ctx, savorystep.FactCrash, subject, savorystep.CrashFact{Endpoints: own})
	log.Warningf("endpoint %s died while it ran request %s", endpoint, t.request.ID)
	if q.config.Recorder != nil {
		q.config.Recorder.Record(savorystep.Event{
			Kind: savorystep.EventQuarantine, Service: t.request.Service, Request: t.request.ID,
			Text: fmt.Sprintf("endpoint %s died while it ran fingerprint %s, %d peers know it and %d do not", endpoint, subject, acked, missing),
		})
	}
}
