package ingress

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/xxh3"

	"savorystep"
	"savorystep/http1"
)

const (
	// quarantineThreshold is the number of endpoints that must crash while they run
	// a request before it is quarantined.
	quarantineThreshold = 3
	// quarantineDuration is how long a request stays quarantined after the last
	// crash.
	quarantineDuration = 10 * time.Minute
	// crashCheckTimeout bounds the check whether an endpoint that closed a
	// connection still accepts new ones.
	crashCheckTimeout = 500 * time.Millisecond
	// maxCrashRecords bounds the number of requests with crashes that are kept.
	maxCrashRecords = 10_000
)

// A Quarantine stops the forwarding of requests that crashed several endpoints,
// whichever instances their callers sent them to. It shares crashes with the
// other instances. It is safe for concurrent use.
type Quarantine struct {
	facts savorystep.Facts

	mu      sync.Mutex
	records map[savorystep.Fingerprint]*crashRecord
}

// A crashRecord holds the endpoints that crashed while they ran a request.
type crashRecord struct {
	endpoints map[savorystep.EndpointID]bool
	lastCrash time.Time
}

// NewQuarantine returns an empty quarantine that exchanges crashes with other
// instances through facts.
func NewQuarantine(facts savorystep.Facts) *Quarantine {
	q := &Quarantine{facts: facts, records: make(map[savorystep.Fingerprint]*crashRecord)}
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
	key, err := strconv.ParseUint(fact.Subject, 16, 64)
	var body savorystep.CrashFact
	if err != nil || cbor.Unmarshal(fact.Body, &body) != nil {
		log.Warningf("can't decode crash fact of instance %s with subject %q", fact.Instance, fact.Subject)
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if body.Cleared {
		delete(q.records, savorystep.Fingerprint(key))
		return
	}
	for _, id := range body.Endpoints {
		q.addCrash(fact.ReceivedAt, savorystep.Fingerprint(key), id)
	}
}

// addCrash records a crash and returns all endpoints that crashed while they ran
// the request. The caller must hold q.mu.
func (q *Quarantine) addCrash(now time.Time, key savorystep.Fingerprint, id savorystep.EndpointID) []savorystep.EndpointID {
	record := q.records[key]
	if record == nil || now.Sub(record.lastCrash) >= quarantineDuration {
		if len(q.records) >= maxCrashRecords {
			q.evict(now)
		}
		record = &crashRecord{endpoints: make(map[savorystep.EndpointID]bool)}
		q.records[key] = record
	}
	record.endpoints[id] = true
	record.lastCrash = now
	ids := make([]savorystep.EndpointID, 0, len(record.endpoints))
	for id := range record.endpoints {
		ids = append(ids, id)
	}
	return ids
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

// isQuarantined reports whether a request must not be forwarded.
func (q *Quarantine) isQuarantined(now time.Time, key savorystep.Fingerprint) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	record := q.records[key]
	return record != nil && len(record.endpoints) >= quarantineThreshold && now.Sub(record.lastCrash) < quarantineDuration
}

// clear drops the crashes of a request that an endpoint has answered, here and at
// the other instances. Other requests caused these crashes, or the endpoints
// failed together.
func (q *Quarantine) clear(key savorystep.Fingerprint) {
	q.mu.Lock()
	_, ok := q.records[key]
	delete(q.records, key)
	q.mu.Unlock()
	if ok {
		q.facts.Publish(savorystep.FactCrash, factSubject(key), savorystep.CrashFact{Cleared: true})
	}
}

// factSubject returns the subject of crash facts about a request.
func factSubject(key savorystep.Fingerprint) string {
	return strconv.FormatUint(uint64(key), 16)
}

// recordCrash records the crash of an endpoint that ran a request, and publishes
// it. The id of the crash includes the start time of the endpoint, so that each
// incarnation counts once.
func (q *Quarantine) recordCrash(now time.Time, key savorystep.Fingerprint, crashed savorystep.Endpoint) {
	id := savorystep.EndpointID(fmt.Sprintf("%s@%d", crashed.ID, crashed.StartedAtMillis))
	q.mu.Lock()
	ids := q.addCrash(now, key, id)
	q.mu.Unlock()
	log.Warningf("endpoint %s crashed while it ran request fingerprint=%s, which crashed %d endpoints", id, factSubject(key), len(ids))
	q.facts.Publish(savorystep.FactCrash, factSubject(key), savorystep.CrashFact{Endpoints: ids})
}

// crashed reports whether an exchange that ended with an error shows that its endpoint
// crashed while it ran the request: the endpoint ended the connection before it had sent
// a complete response, whether in the head or in the body, and nothing listens at its
// address any more. An endpoint that only breaks off its responses goes on listening.
func crashed(ctx context.Context, err error, address savorystep.Address) bool {
	var exchangeErr *http1.ExchangeError
	return errors.As(err, &exchangeErr) && exchangeErr.Stage == http1.StageSent && exchangeErr.ClosedByEndpoint && refusesConnections(ctx, address)
}

// refusesConnections reports whether nothing listens at an address.
func refusesConnections(ctx context.Context, address savorystep.Address) bool {
	dialer := net.Dialer{Timeout: crashCheckTimeout}
	c, err := dialer.DialContext(ctx, "tcp", string(address))
	if err == nil {
		_ = c.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
