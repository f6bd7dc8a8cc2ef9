package peer

import (
	"context"
	"crypto/sha256"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"savorystep"
)

var (
	_ savorystep.Facts       = (*Exchange)(nil)
	_ savorystep.Members     = (*Exchange)(nil)
	_ savorystep.PeerChanges = (*Exchange)(nil)
	_ savorystep.Runner      = (*Exchange)(nil)
)

const logger = savorystep.Logger("peer")

// An Exchange connects this instance with its peers. It is safe for concurrent
// use.
//
// The lock order is mu before the mutex of the HLC. Functions of subscribers,
// the change source and the recorder are called without mu.
type Exchange struct {
	config Config
	secret [sha256.Size]byte
	client *http.Client

	mu     sync.Mutex
	store  *store
	bucket *tokenBucket
	links  map[savorystep.InstanceID]*link
	// watches hold when each instance to monitor was last heard.
	watches     map[savorystep.InstanceID]*watch
	dials       map[savorystep.Address]*dial
	groups      map[string]*group
	listed      []savorystep.Instance
	source      savorystep.ChangeSource
	status      savorystep.StatusFact
	stated      time.Time
	subscribers map[savorystep.FactKind][]func(savorystep.ReceivedFact)
	notices     []savorystep.ReceivedFact
	waiters     map[uint64]*waiter
	wants       map[uint64]chan []savorystep.Change
	requests    uint64
	stats       Stats
	snapshot    snapshot
	// alone is when the last connection ended.
	alone time.Time
	// vectorNext is the earliest time of the next full vector.
	vectorNext time.Time
	// vectorHold is the bytes kept for a part of the vector that waits.
	vectorHold int
	// reserved is the number of connections kept free for chosen peers.
	reserved int
	// fresh counts the facts learned since the last digest.
	fresh   int
	started bool
	// tasks runs the goroutines. It is nil before Start and after the end.
	tasks *errgroup.Group

	noticed chan struct{}
	wake    chan struct{}
	// behind tells runCatchUp that many facts are new.
	behind chan struct{}
}

// A snapshot is a list of members that is reused for a short time.
type snapshot struct {
	members []savorystep.Member
	version uint64
	until   time.Time
}

// snapshotLifetime is how long a list of members is reused while nothing
// changes. Building it at each lookup would cost most of a core at 2,500
// instances.
const snapshotLifetime = 100 * time.Millisecond

// New returns an exchange. It does nothing in the background until Start.
func New(config Config) *Exchange {
	config = config.withDefaults()
	now := config.Clock.Now()
	e := &Exchange{
		config:      config,
		secret:      sha256.Sum256([]byte(config.Secret)),
		store:       newStore(config.Self.ID, config.PeerTimeout),
		bucket:      newTokenBucket(config.BytesPerSecond, now),
		links:       make(map[savorystep.InstanceID]*link),
		watches:     make(map[savorystep.InstanceID]*watch),
		dials:       make(map[savorystep.Address]*dial),
		groups:      make(map[string]*group),
		source:      config.ChangeSource,
		status:      savorystep.StatusFact{Instance: config.Self},
		subscribers: make(map[savorystep.FactKind][]func(savorystep.ReceivedFact)),
		waiters:     make(map[uint64]*waiter),
		wants:       make(map[uint64]chan []savorystep.Change),
		alone:       now,
		noticed:     make(chan struct{}, 1),
		wake:        make(chan struct{}, 1),
		behind:      make(chan struct{}, 1),
	}
	e.client = &http.Client{Transport: &http.Transport{
		DialContext:            config.Dial,
		TLSClientConfig:        config.TLS,
		DisableKeepAlives:      true,
		MaxResponseHeaderBytes: maxPeerHeader,
	}}
	e.stateStatus(now)
	return e
}

// Self returns this instance.
func (e *Exchange) Self() savorystep.Instance {
	return e.config.Self
}

// SetSource sets the source that answers the wants of peers.
func (e *Exchange) SetSource(source savorystep.ChangeSource) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.source = source
}

// Stats returns the counts since the start.
func (e *Exchange) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	stats := e.stats
	stats.Links = len(e.links)
	return stats
}

// Start begins the exchange. The channel yields one value after ctx is
// cancelled and all goroutines have ended. The exchange can be started once.
func (e *Exchange) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	group, ctx := errgroup.WithContext(ctx)
	e.mu.Lock()
	if e.started {
		e.mu.Unlock()
		done <- savorystep.NewError(savorystep.KindInternal, "exchange was started before")
		return done
	}
	e.started = true
	e.tasks = group
	e.alone = e.config.Clock.Now()
	e.mu.Unlock()
	group.Go(func() error { return e.runRounds(ctx) })
	group.Go(func() error { return e.runOverlay(ctx) })
	group.Go(func() error { return e.runCatchUp(ctx) })
	group.Go(func() error { return e.runNotices(ctx) })
	if e.config.Registry != nil {
		group.Go(func() error { return e.runPoll(ctx) })
	}
	go func() {
		<-ctx.Done()
		e.closeAll()
		done <- group.Wait()
	}()
	return done
}

// closeAll ends all links and refuses new ones.
func (e *Exchange) closeAll() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tasks = nil
	for _, l := range e.links {
		l.close(closeStopping, "instance stops")
	}
}

// spawn runs f in the exchange's group. It returns false if the exchange does
// not run.
func (e *Exchange) spawn(f func() error) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.tasks == nil {
		return false
	}
	e.tasks.Go(f)
	return true
}

// SetStatus sets the state of this instance that its peers see. Changes of
// ready, leaving and suspect are sent at once.
func (e *Exchange) SetStatus(ready, leaving, suspect bool, revision savorystep.Revision, rate float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.config.Clock.Now()
	old := e.status
	e.status.Ready, e.status.Leaving, e.status.LinkSuspect = ready, leaving, suspect
	e.status.RequestRate = rate
	e.status.Revision = max(old.Revision, revision)
	e.raiseRevision(e.status.Revision)
	changed := old.Ready != ready || old.Leaving != leaving || old.LinkSuspect != suspect
	if changed || (isRateChanged(e.statedRate(), rate) && now.Sub(e.stated) >= e.rateInterval()) {
		e.stateStatus(now)
	}
}

// statedRate returns the rate in the newest own status fact.
func (e *Exchange) statedRate() float64 {
	if m := e.store.members[e.config.Self.ID]; m != nil {
		return m.status.RequestRate
	}
	return 0
}

// isRateChanged reports whether a rate changed enough to be worth a new
// status fact.
func isRateChanged(old, rate float64) bool {
	const relative, absolute = 0.1, 1
	return rate-old > max(absolute, relative*old) || old-rate > max(absolute, relative*old)
}

// rateInterval is the least time between status facts that differ in the rate
// only. It grows with the number of instances, so that these facts stay below
// a fifth of the budget: each instance sends each fact about relays times.
func (e *Exchange) rateInterval() time.Duration {
	const statusSize, share, least = 150, 5, time.Second
	bytes := len(e.store.members) * statusSize * relays
	return max(least, time.Duration(float64(bytes*share)/float64(e.config.BytesPerSecond)*float64(time.Second)))
}

// stateStatus states the status under a new sequence and sends it at once.
func (e *Exchange) stateStatus(now time.Time) {
	body, err := statuses.Encode(e.status)
	if err != nil {
		logger.Errorf("status: %v", err)
		return
	}
	e.stated = now
	e.spread(e.store.state(now, savorystep.FactStatus, "", body), nil)
}

// raiseRevision notes the revision in force here.
func (e *Exchange) raiseRevision(revision savorystep.Revision) {
	top := e.store.revisions.top
	if m := e.store.members[e.config.Self.ID]; m != nil {
		e.store.revisions.raise(m, revision)
	}
	if e.store.revisions.top > top {
		e.announce()
	}
}

// announce wakes all links, which then send the new top revision.
func (e *Exchange) announce() {
	for _, l := range e.links {
		l.signal()
	}
}

// Members returns all instances that are not left out, in order of their IDs.
// The caller must not change the result. A member counts as heard now unless a
// peer suspects it. An instance that hears nobody sees only itself.
func (e *Exchange) Members(now time.Time) []savorystep.Member {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.snapshot.version == e.store.version() && now.Before(e.snapshot.until) {
		return e.snapshot.members
	}
	e.snapshot = snapshot{version: e.store.version(), until: now.Add(snapshotLifetime)}
	if e.isIsolated(now) {
		self := e.config.Self.ID
		e.snapshot.members = []savorystep.Member{e.store.member(now, self, e.store.members[self])}
	} else {
		e.snapshot.members = e.store.alive(now)
	}
	return e.snapshot.members
}

// isIsolated reports whether this instance has had no connection for as long
// as it takes to leave out a peer. Suspicions of others no longer reach it, so
// it cannot vouch for anyone.
func (e *Exchange) isIsolated(now time.Time) bool {
	for _, l := range e.links {
		if now.Sub(l.heard) < e.config.PeerTimeout {
			return false
		}
	}
	return now.Sub(e.alone) >= e.config.PeerTimeout+refuteWindow(0)
}

// LatestRevision returns the greatest revision that any instance is known to have
// in force, whether or not that instance is left out.
func (e *Exchange) LatestRevision() savorystep.Revision {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.store.revisions.top
}
