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
	// quarantineThreshold is how many endpoints may die with a request before it
	// is sent to none any more.
	quarantineThreshold = 3
	// quarantineDuration is how long a request is kept from endpoints after the
	// last death.
	quarantineDuration = 10 * time.Minute
	// crashCheckTimeout bounds the check whether an endpoint that closed a connection
	// still accepts new ones.
	crashCheckTimeout = 500 * time.Millisecond
	// maxCrashRecords bounds the requests with deaths that are remembered.
	maxCrashRecords = 10_000
)

// A Quarantine keeps a request that kills the endpoints which run it from
// further ones, whichever instance its caller sends it to. It is safe for
// concurrent use.
type Quarantine struct {
	facts savorystep.Facts

	mu      sync.Mutex
	records map[savorystep.Fingerprint]*crashRecord
}

// A crashRecord is a request with the endpoints that died with it.
type crashRecord struct {
	endpoints map[savorystep.EndpointID]bool
	lastCrash time.Time
}

// NewQuarantine returns a quarantine that shares deaths as facts.
func NewQuarantine(facts savorystep.Facts) *Quarantine {
	q := &Quarantine{facts: facts, records: make(map[savorystep.Fingerprint]*crashRecord)}
	facts.Subscribe(savorystep.FactCrash, q.applyFact)
	return q
}

// fingerprint is the same for a request that its caller sends again.
func fingerprint(r *http1.Request) savorystep.Fingerprint {
	hash := xxh3.New()
	for _, part := range []string{r.Method, " ", r.Host, " ", r.Target, "\n"} {
		_, _ = hash.WriteString(part)
	}
	_, _ = hash.Write(r.Body)
	return savorystep.Fingerprint(hash.Sum64())
}

// applyFact takes note of deaths that another instance saw.
func (q *Quarantine) applyFact(fact savorystep.ReceivedFact) {
	key, err := strconv.ParseUint(fact.Subject, 16, 64)
	var body savorystep.CrashFact
	if err != nil || cbor.Unmarshal(fact.Body, &body) != nil {
		log.Warningf("a strike of %s can't be read", fact.Instance)
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

// addCrash counts a death and returns all endpoints that died. The caller holds mu.
func (q *Quarantine) addCrash(now time.Time, key savorystep.Fingerprint, id savorystep.EndpointID) []savorystep.EndpointID {
	known := q.records[key]
	if known == nil || now.Sub(known.lastCrash) >= quarantineDuration {
		if len(q.records) >= maxCrashRecords {
			q.evict(now)
		}
		known = &crashRecord{endpoints: make(map[savorystep.EndpointID]bool)}
		q.records[key] = known
	}
	known.endpoints[id] = true
	known.lastCrash = now
	ids := make([]savorystep.EndpointID, 0, len(known.endpoints))
	for id := range known.endpoints {
		ids = append(ids, id)
	}
	return ids
}

// evict drops what has expired, or the oldest half if nothing has. The caller
// holds mu.
func (q *Quarantine) evict(now time.Time) {
	for age := quarantineDuration; len(q.records) >= maxCrashRecords; age /= 2 {
		for key, known := range q.records {
			if now.Sub(known.lastCrash) >= age {
				delete(q.records, key)
			}
		}
	}
}

// isQuarantined reports whether a request is kept from endpoints.
func (q *Quarantine) isQuarantined(now time.Time, key savorystep.Fingerprint) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	known := q.records[key]
	return known != nil && len(known.endpoints) >= quarantineThreshold && now.Sub(known.lastCrash) < quarantineDuration
}

// clear forgets the deaths of a request that was clear: other requests
// killed the endpoints, or they failed together.
func (q *Quarantine) clear(key savorystep.Fingerprint) {
	q.mu.Lock()
	_, ok := q.records[key]
	delete(q.records, key)
	q.mu.Unlock()
	if ok {
		q.facts.Publish(savorystep.FactCrash, factSubject(key), savorystep.CrashFact{Cleared: true})
	}
}

// factSubject returns the subject of facts about a request.
func factSubject(key savorystep.Fingerprint) string {
	return strconv.FormatUint(uint64(key), 16)
}

// recordCrash counts the death of an endpoint that ran a request. Each start of an
// endpoint dies once, whichever requests ran on it.
func (q *Quarantine) recordCrash(now time.Time, key savorystep.Fingerprint, dead savorystep.Endpoint) {
	id := savorystep.EndpointID(fmt.Sprintf("%s@%d", dead.ID, dead.StartedAtMillis))
	q.mu.Lock()
	ids := q.addCrash(now, key, id)
	q.mu.Unlock()
	log.Warningf("endpoint %s died while it ran request fingerprint=%s, %d died with it", id, factSubject(key), len(ids))
	q.facts.Publish(savorystep.FactCrash, factSubject(key), savorystep.CrashFact{Endpoints: ids})
}

// isClosedByEndpoint reports whether an exchange ended because the endpoint closed the
// connection without an answer.
func isClosedByEndpoint(err error) bool {
	var failure *http1.ExchangeError
	return errors.As(err, &failure) && !errors.Is(err, errEndpointDown) && failure.Stage == http1.StageSent && !failure.InvalidResponse && !failure.BudgetExceeded &&
		!errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, syscall.ETIMEDOUT)
}

// refusesConnections reports whether an endpoint refuses connections.
func refusesConnections(ctx context.Context, address savorystep.Address) bool {
	dialer := net.Dialer{Timeout: crashCheckTimeout}
	c, err := dialer.DialContext(ctx, "tcp", string(address))
	if err == nil {
		_ = c.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
