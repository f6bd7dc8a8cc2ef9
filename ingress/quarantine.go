package ingress

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/xxh3"

	"savorystep"
	"savorystep/http1"
	"savorystep/upstream"
)

const (
	// quarantineStreak is the number of crashes in a row that quarantine a request.
	quarantineStreak = 3
	// maxProbedStreak is the number of crashes in a row after which a quarantined request
	// is not probed any more. The platform allows three deliveries later than 4 s after
	// the third crash, and each probe that ends with a crash is one.
	maxProbedStreak = quarantineStreak + 3
	// probeInterval is the time from a crash or a probe to the next probe. It covers the
	// service time of a request, so that probes follow each other.
	probeInterval = 2 * time.Second
	// maxProbeJitter spreads the probes of several instances, so that most of them hear of
	// the first one and make no call.
	maxProbeJitter = 500 * time.Millisecond
	// togetherWindow is the time within which crashes may have one cause, such as the
	// failure of a zone.
	togetherWindow = 4 * time.Second
	// quarantineDuration is how long a request stays quarantined after the last
	// crash.
	quarantineDuration = 10 * time.Minute
	// savedStreak is the number of crashes in a row from which they are saved in the crash
	// log. A first crash is mostly that of an endpoint which no request is to blame for,
	// and hits all requests in flight there.
	savedStreak = 2
	// clearedRetention is how long crashes that the crash log has from before they were
	// cleared are ignored. Their removal from the log takes seconds at most.
	clearedRetention = time.Minute
	// maxCrashRecords bounds the number of requests with crashes that are kept.
	maxCrashRecords = 10_000
)

// A Quarantine stops the forwarding of requests that crashed several endpoints, one after
// the other, whichever instances their callers sent them to. It shares crashes with the
// other instances. It is safe for concurrent use.
type Quarantine struct {
	facts    savorystep.Facts
	crashLog savorystep.CrashLog
	answered *upstream.RecentlyAnswered

	mu      sync.Mutex
	records map[savorystep.Fingerprint]*crashRecord
	// unsaved are the requests whose crashes this instance has to save in the crash log,
	// or to remove from it if they have no record, with the number of the last change.
	unsaved     map[savorystep.Fingerprint]uint64
	changeCount uint64
	// clearedAt holds when the crashes of requests were cleared, for clearedRetention.
	clearedAt map[savorystep.Fingerprint]time.Time
	// saveSignal has a value if unsaved is not empty.
	saveSignal chan struct{}
}

// NewQuarantine returns an empty quarantine that exchanges crashes with other instances
// through facts, and claims probes in a crash log.
func NewQuarantine(facts savorystep.Facts, crashLog savorystep.CrashLog) *Quarantine {
	q := &Quarantine{
		facts: facts, crashLog: crashLog, answered: upstream.NewRecentlyAnswered(), records: make(map[savorystep.Fingerprint]*crashRecord),
		unsaved: make(map[savorystep.Fingerprint]uint64), clearedAt: make(map[savorystep.Fingerprint]time.Time), saveSignal: make(chan struct{}, 1),
	}
	facts.Subscribe(savorystep.FactCrash, q.applyFact)
	return q
}

// fingerprint returns a hash of the method, host, target and body of a request,
// which stay the same when its caller sends it again.
func fingerprint(r *http1.Request) savorystep.Fingerprint {
	hash := xxh3.New()
	for _, part := range []string{r.Method, " ", r.Host, " ", r.Target, "\n"} {
		_, _ = hash.WriteString(part)
	}
	_, _ = hash.Write(r.Body)
	return savorystep.Fingerprint(hash.Sum64())
}

// applyFact applies a crash fact, by which another instance reports or clears the
// crashes of a request.
func (q *Quarantine) applyFact(fact savorystep.ReceivedFact) {
	key, err := savorystep.ParseFingerprint(fact.Subject)
	var body savorystep.CrashFact
	if err != nil || cbor.Unmarshal(fact.Body, &body) != nil {
		log.Warningf("can't decode crash fact of instance %s with subject %q", fact.Instance, fact.Subject)
		return
	}
	if body.Cleared {
		q.applyCleared(fact.ReceivedAt, key)
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	record := q.recordOf(fact.ReceivedAt, key)
	wasQuarantined := record.isQuarantined()
	for _, id := range body.Endpoints {
		record.addCrash(fact.ReceivedAt, id)
	}
	isOldBuild := body.Streak == 0
	if isOldBuild {
		body.Streak = len(record.endpoints)
	}
	record.streak = max(record.streak, body.Streak)
	record.wasAnswered = record.wasAnswered || body.WasAnswered
	if body.Probes > 0 {
		record.probedAt = fact.ReceivedAt
	}
	if record.request == "" {
		record.request = body.Request
	}
	if !wasQuarantined && record.isQuarantined() {
		log.Warningf("request fingerprint=%s (%s) is quarantined: endpoints %v crashed while they ran it, %d in a row, according to instance %s", key, record.request, record.lastEndpoints(), record.streak, fact.Instance)
	}
	if isOldBuild && record.streak >= savedStreak {
		// The instance that saw the crash does not save it.
		q.markUnsaved(key)
	}
}

// applyCleared drops the crashes of a request that another instance cleared. What this
// instance published of them is cleared, too: an instance that starts later gets the
// facts of all instances, in any order.
func (q *Quarantine) applyCleared(now time.Time, key savorystep.Fingerprint) {
	q.mu.Lock()
	record := q.dropRecord(now, key)
	if record != nil && record.probes > 0 {
		// The claim of a probe may have been saved after the other instance removed the
		// crashes from the crash log.
		q.markUnsaved(key)
	}
	q.mu.Unlock()
	if record != nil && record.isPublished {
		q.facts.Publish(savorystep.FactCrash, key.String(), savorystep.CrashFact{Cleared: true})
	}
}

// dropRecord removes the record of a request and returns it, nil if there is none. The
// caller must hold q.mu.
func (q *Quarantine) dropRecord(now time.Time, key savorystep.Fingerprint) *crashRecord {
	record := q.records[key]
	if record == nil {
		return nil
	}
	delete(q.records, key)
	for other, at := range q.clearedAt {
		if now.Sub(at) >= clearedRetention {
			delete(q.clearedAt, other)
		}
	}
	q.clearedAt[key] = now
	return record
}

// recordOf returns the record of a request, which it adds if there is none or if that
// has expired. The caller must hold q.mu.
func (q *Quarantine) recordOf(now time.Time, key savorystep.Fingerprint) *crashRecord {
	record := q.records[key]
	if record == nil || record.isExpired(now) {
		if len(q.records) >= maxCrashRecords {
			q.evict(now)
		}
		record = newCrashRecord(now)
		record.wasAnswered = q.answered.Has(key, now)
		q.records[key] = record
	}
	return record
}

// evict drops expired records. If none has expired, it halves the age limit until
// there is room for a new record. The caller must hold q.mu.
func (q *Quarantine) evict(now time.Time) {
	for maxAge := quarantineDuration; len(q.records) >= maxCrashRecords; maxAge /= 2 {
		for key, record := range q.records {
			if now.Sub(record.lastCrash) >= maxAge {
				delete(q.records, key)
			}
		}
	}
}

// A quarantineVerdict says whether a request may be forwarded.
type quarantineVerdict struct {
	// streak is the number of crashes in a row that are known.
	streak        int
	isQuarantined bool
	// mayProbe is true if a quarantined request may be sent once claimProbe allows it.
	mayProbe bool
	// reason names the last crashes of a quarantined request.
	reason string
}

// check returns whether a request may be forwarded.
func (q *Quarantine) check(now time.Time, key savorystep.Fingerprint) quarantineVerdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	record := q.records[key]
	switch {
	case record == nil || record.isExpired(now):
		return quarantineVerdict{}
	case !record.isQuarantined():
		return quarantineVerdict{streak: record.streak}
	}
	return quarantineVerdict{
		streak: record.streak, isQuarantined: true, mayProbe: q.crashLog != nil && record.mayProbe(now),
		reason: fmt.Sprintf("quarantined as fingerprint=%s, %d crashes in a row, the last %v ago, of %v", key, record.streak, now.Sub(record.lastCrash).Round(time.Second), record.lastEndpoints()),
	}
}

// recordAnswer records that an endpoint has answered a request, and drops its crashes
// here and at the other instances: other requests caused them, or the endpoints failed
// together.
func (q *Quarantine) recordAnswer(now time.Time, key savorystep.Fingerprint) {
	q.answered.Add(key, now)
	q.mu.Lock()
	record := q.dropRecord(now, key)
	if record != nil && record.streak >= savedStreak {
		q.markUnsaved(key)
	}
	q.mu.Unlock()
	if record != nil {
		q.facts.Publish(savorystep.FactCrash, key.String(), savorystep.CrashFact{Cleared: true})
	}
}

// Clear drops the crashes of a request here, at the other instances and in the crash
// log, which ends its quarantine.
func (q *Quarantine) Clear(now time.Time, key savorystep.Fingerprint) {
	q.mu.Lock()
	q.dropRecord(now, key)
	q.clearedAt[key] = now
	q.markUnsaved(key)
	q.mu.Unlock()
	log.Infof("crashes of request fingerprint=%s are cleared by an operator", key.String())
	q.facts.Publish(savorystep.FactCrash, key.String(), savorystep.CrashFact{Cleared: true})
}

// A QuarantinedRequest is a request that is not forwarded.
type QuarantinedRequest struct {
	Fingerprint savorystep.Fingerprint
	// Request describes the request, empty if that is not known.
	Request string
	// Streak is the number of endpoints that crashed in a row, Endpoints the last of them.
	Streak    int
	Endpoints []savorystep.EndpointID
	// LastCrash is when the last one crashed.
	LastCrash time.Time
	// Until is when the quarantine ends.
	Until time.Time
}

// Quarantined returns the requests that are not forwarded, by fingerprint.
func (q *Quarantine) Quarantined(now time.Time) []QuarantinedRequest {
	q.mu.Lock()
	defer q.mu.Unlock()
	var list []QuarantinedRequest
	for key, record := range q.records {
		if !record.isExpired(now) && record.isQuarantined() {
			list = append(list, QuarantinedRequest{Fingerprint: key, Request: record.request, Streak: record.streak, Endpoints: record.lastEndpoints(), LastCrash: record.lastCrash, Until: record.lastCrash.Add(quarantineDuration)})
		}
	}
	slices.SortFunc(list, func(a, b QuarantinedRequest) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return list
}

// recordCrash records the crash of an endpoint that ran a request, and publishes it.
// The request's crashStreak is what check returned before it was sent to the endpoint.
func (q *Quarantine) recordCrash(now time.Time, pr *proxiedRequest, crashed savorystep.Endpoint) {
	key := pr.fingerprint
	id := crashed.IncarnationID()
	q.mu.Lock()
	record := q.recordOf(now, key)
	record.addCrash(now, id)
	record.lastCrash = now
	record.streak, record.isPublished = max(record.streak, pr.crashStreak+1), true
	record.request = describeRequest(&pr.Request)
	if record.streak >= savedStreak {
		q.markUnsaved(key)
	}
	fact, isQuarantined := record.toFact(), record.isQuarantined()
	q.mu.Unlock()
	log.Warningf("endpoint %s at %s crashed while it ran attempt %s of request fingerprint=%s (%s), which crashed %d endpoints, %d in a row, quarantined %t", id, crashed.Address, pr.AttemptID, key, fact.Request, len(fact.Endpoints), fact.Streak, isQuarantined)
	q.facts.Publish(savorystep.FactCrash, key.String(), fact)
}

// isClosedByEndpoint reports whether an endpoint ended the connection of an exchange
// before it had sent a complete response.
func isClosedByEndpoint(err error) bool {
	var exchangeErr *http1.ExchangeError
	return errors.As(err, &exchangeErr) && exchangeErr.ClosedByEndpoint
}

// crashed reports whether an exchange that ended with an error shows that its endpoint
// crashed while it ran the request: the endpoint ended the connection before it had sent
// a complete response, whether in the head or in the body, and nothing listens at its
// address any more. An endpoint that only breaks off its responses goes on listening.
// Another request may have found the latter first.
func crashed(ctx context.Context, err error, address savorystep.Address) bool {
	var exchangeErr *http1.ExchangeError
	if !errors.As(err, &exchangeErr) || exchangeErr.Stage != http1.StageSent {
		return false
	}
	return errors.Is(err, errEndpointRefuses) || exchangeErr.ClosedByEndpoint && upstream.RefusesConnections(ctx, address)
}
