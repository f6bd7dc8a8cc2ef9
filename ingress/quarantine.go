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
	// quarantineDeaths is how many endpoints may die with a request before it
	// is sent to none any more.
	quarantineDeaths = 3
	// quarantineTime is how long a request is kept from endpoints after the
	// last death.
	quarantineTime = 10 * time.Minute
	// deathDial bounds the check whether an endpoint that closed a connection
	// still accepts new ones.
	deathDial = 500 * time.Millisecond
	// maxStruck bounds the requests with deaths that are remembered.
	maxStruck = 10_000
)

// A Quarantine keeps a request that kills the endpoints which run it from
// further ones, whichever instance its caller sends it to. It is safe for
// concurrent use.
type Quarantine struct {
	facts savorystep.Facts

	mu    sync.Mutex
	byKey map[savorystep.Fingerprint]*struck
}

// A struck is a request with the endpoints that died with it.
type struck struct {
	endpoints map[savorystep.EndpointID]bool
	last      time.Time
}

// NewQuarantine returns a quarantine that shares deaths as facts.
func NewQuarantine(facts savorystep.Facts) *Quarantine {
	q := &Quarantine{facts: facts, byKey: make(map[savorystep.Fingerprint]*struck)}
	facts.Subscribe(savorystep.FactCrash, q.hear)
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

// hear takes note of deaths that another instance saw.
func (q *Quarantine) hear(fact savorystep.ReceivedFact) {
	key, err := strconv.ParseUint(fact.Subject, 16, 64)
	var body savorystep.CrashFact
	if err != nil || cbor.Unmarshal(fact.Body, &body) != nil {
		log.Warningf("a strike of %s can't be read", fact.Instance)
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if body.Cleared {
		delete(q.byKey, savorystep.Fingerprint(key))
		return
	}
	for _, id := range body.Endpoints {
		q.add(fact.ReceivedAt, savorystep.Fingerprint(key), id)
	}
}

// add counts a death and returns all endpoints that died. The caller holds mu.
func (q *Quarantine) add(now time.Time, key savorystep.Fingerprint, id savorystep.EndpointID) []savorystep.EndpointID {
	known := q.byKey[key]
	if known == nil || now.Sub(known.last) >= quarantineTime {
		if len(q.byKey) >= maxStruck {
			q.forget(now)
		}
		known = &struck{endpoints: make(map[savorystep.EndpointID]bool)}
		q.byKey[key] = known
	}
	known.endpoints[id] = true
	known.last = now
	ids := make([]savorystep.EndpointID, 0, len(known.endpoints))
	for id := range known.endpoints {
		ids = append(ids, id)
	}
	return ids
}

// forget drops what has expired, or the oldest half if nothing has. The caller
// holds mu.
func (q *Quarantine) forget(now time.Time) {
	for age := quarantineTime; len(q.byKey) >= maxStruck; age /= 2 {
		for key, known := range q.byKey {
			if now.Sub(known.last) >= age {
				delete(q.byKey, key)
			}
		}
	}
}

// holds reports whether a request is kept from endpoints.
func (q *Quarantine) holds(now time.Time, key savorystep.Fingerprint) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	known := q.byKey[key]
	return known != nil && len(known.endpoints) >= quarantineDeaths && now.Sub(known.last) < quarantineTime
}

// answered forgets the deaths of a request that was answered: other requests
// killed the endpoints, or they failed together.
func (q *Quarantine) answered(key savorystep.Fingerprint) {
	q.mu.Lock()
	_, ok := q.byKey[key]
	delete(q.byKey, key)
	q.mu.Unlock()
	if ok {
		q.facts.Publish(savorystep.FactCrash, subjectOf(key), savorystep.CrashFact{Cleared: true})
	}
}

// subjectOf returns the subject of facts about a request.
func subjectOf(key savorystep.Fingerprint) string {
	return strconv.FormatUint(uint64(key), 16)
}

// died counts the death of an endpoint that ran a request. Each start of an
// endpoint dies once, whichever requests ran on it.
func (q *Quarantine) died(now time.Time, key savorystep.Fingerprint, dead savorystep.Endpoint) {
	id := savorystep.EndpointID(fmt.Sprintf("%s@%d", dead.ID, dead.StartedAtMillis))
	q.mu.Lock()
	ids := q.add(now, key, id)
	q.mu.Unlock()
	log.Warningf("endpoint %s died while it ran request fingerprint=%s, %d died with it", id, subjectOf(key), len(ids))
	q.facts.Publish(savorystep.FactCrash, subjectOf(key), savorystep.CrashFact{Endpoints: ids})
}

// isClosed reports whether an exchange ended because the endpoint closed the
// connection without an answer.
func isClosed(err error) bool {
	var failure *http1.ExchangeError
	return errors.As(err, &failure) && !errors.Is(err, errDown) && failure.Stage == http1.StageSent && !failure.InvalidResponse && !failure.BudgetExceeded &&
		!errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, syscall.ETIMEDOUT)
}

// isDead reports whether an endpoint refuses connections.
func isDead(ctx context.Context, address savorystep.Address) bool {
	dialer := net.Dialer{Timeout: deathDial}
	c, err := dialer.DialContext(ctx, "tcp", string(address))
	if err == nil {
		_ = c.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
