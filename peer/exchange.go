package peer

import (
	"context"
	"crypto/sha256"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"savorystep"
	"savorystep/http1"
)

var (
	_ savorystep.Facts       = (*Exchange)(nil)
	_ savorystep.Members     = (*Exchange)(nil)
	_ savorystep.PeerChanges = (*Exchange)(nil)
	_ savorystep.Runner      = (*Exchange)(nil)
)

const logger = savorystep.Logger("peer")

// An Exchange connects this instance with its peers: it gossips facts,
// maintains the membership, and fetches configuration changes. It is safe for
// concurrent use.
//
// Lock order: mu before the mutex of the HLC. Functions of subscribers and the
// change source are called without mu.
type Exchange struct {
	config     Config
	secretHash [sha256.Size]byte
	client     *http.Client

	mu         sync.Mutex
	store      *store
	byteBudget *tokenBucket
	// endingBudget limits the bytes of reports that endpoints have ended beyond it.
	endingBudget *tokenBucket
	// endingsSent counts the reports that were sent on, by kind and endpoint.
	endingsSent map[factKey]endingsSent
	links       map[savorystep.InstanceID]*link
	// monitors holds the instances that this one monitors.
	monitors              map[savorystep.InstanceID]*monitor
	dialStates            map[savorystep.Address]*dialState
	groups                map[string]*group
	listedInstances       []savorystep.Instance
	changeSource          savorystep.ChangeSource
	localStatus           savorystep.StatusFact
	statusPublishedAt     time.Time
	subscribers           map[savorystep.FactKind][]func(savorystep.ReceivedFact)
	notifications         []notification
	ackWaiters            map[uint64]*ackWaiter
	pendingChangeRequests map[uint64]chan []savorystep.Change
	lastRequestID         uint64
	stats                 Stats
	snapshot              snapshot
	// disconnectedAt is when this instance lost its last link, or when it
	// started if it has had no link.
	disconnectedAt time.Time
	// nextVectorAt is the earliest time at which the next part of the revision
	// vector may be sent.
	nextVectorAt time.Time
	// vectorReservedBytes is the number of bytes reserved for a part of the
	// revision vector that exceeds the available ones.
	vectorReservedBytes int
	// reservedLinks is the number of connections kept free for chosen peers.
	reservedLinks int
	// newFacts counts the facts received since the last digest was sent.
	newFacts  int
	isStarted bool
	// tasks runs the goroutines. It is nil before Start and after Start's
	// context is cancelled.
	tasks *errgroup.Group

	// notificationSignal wakes runNotifications, overlaySignal runOverlay, and
	// catchUpSignal runCatchUp.
	notificationSignal chan struct{}
	overlaySignal      chan struct{}
	catchUpSignal      chan struct{}
}

// A snapshot is a list of members that is reused for a short time.
type snapshot struct {
	members   []savorystep.Member
	version   uint64
	expiresAt time.Time
}

// snapshotLifetime is how long a list of members is reused while the membership
// does not change. Building it for each lookup would take most of a core with
// 2,500 instances.
const snapshotLifetime = 100 * time.Millisecond

// New returns an exchange. It does nothing in the background until Start is
// called.
func New(config Config) *Exchange {
	config = config.withDefaults()
	now := config.Clock.Now()
	e := &Exchange{
		config:                config,
		secretHash:            sha256.Sum256([]byte(config.Secret)),
		store:                 newStore(config.Self.ID, config.PeerTimeout),
		byteBudget:            newTokenBucket(config.BytesPerSecond, now),
		endingBudget:          &tokenBucket{bytesPerSecond: endingBytesPerSecond, capacity: endingBurstBytes, tokens: endingBurstBytes, refilledAt: now},
		endingsSent:           make(map[factKey]endingsSent),
		links:                 make(map[savorystep.InstanceID]*link),
		monitors:              make(map[savorystep.InstanceID]*monitor),
		dialStates:            make(map[savorystep.Address]*dialState),
		groups:                make(map[string]*group),
		changeSource:          config.ChangeSource,
		localStatus:           savorystep.StatusFact{Instance: config.Self},
		subscribers:           make(map[savorystep.FactKind][]func(savorystep.ReceivedFact)),
		ackWaiters:            make(map[uint64]*ackWaiter),
		pendingChangeRequests: make(map[uint64]chan []savorystep.Change),
		disconnectedAt:        now,
		notificationSignal:    make(chan struct{}, 1),
		overlaySignal:         make(chan struct{}, 1),
		catchUpSignal:         make(chan struct{}, 1),
	}
	e.client = &http.Client{Transport: &http.Transport{
		DialContext:            http1.DialWithBreaks(config.Dial),
		TLSClientConfig:        config.TLS,
		DisableKeepAlives:      true,
		MaxResponseHeaderBytes: maxPeerHeaderBytes,
	}}
	e.publishStatus(now)
	return e
}

// Self returns this instance.
func (e *Exchange) Self() savorystep.Instance {
	return e.config.Self
}

// SetChangeSource sets the source of the changes that peers request.
func (e *Exchange) SetChangeSource(source savorystep.ChangeSource) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.changeSource = source
}

// Stats returns the counters since the start.
func (e *Exchange) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	stats := e.stats
	stats.Links = len(e.links)
	return stats
}

// Start runs the exchange in the background. The channel receives one value
// after ctx is cancelled and all goroutines have ended. An exchange can be
// started only once; a second call returns a channel with an error of kind
// KindInternal.
func (e *Exchange) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	group, ctx := errgroup.WithContext(ctx)
	e.mu.Lock()
	if e.isStarted {
		e.mu.Unlock()
		done <- savorystep.NewError(savorystep.KindInternal, "exchange has already been started")
		return done
	}
	e.isStarted = true
	e.tasks = group
	e.disconnectedAt = e.config.Clock.Now()
	e.mu.Unlock()
	group.Go(func() error { return e.runRounds(ctx) })
	group.Go(func() error { return e.runOverlay(ctx) })
	group.Go(func() error { return e.runCatchUp(ctx) })
	group.Go(func() error { return e.runNotifications(ctx) })
	if e.config.Registry != nil {
		group.Go(func() error { return e.runPoll(ctx) })
	}
	go func() {
		<-ctx.Done()
		e.closeLinks()
		done <- group.Wait()
	}()
	return done
}

// closeLinks closes all links. No new ones are opened afterwards.
func (e *Exchange) closeLinks() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tasks = nil
	for _, l := range e.links {
		l.close(closeStopping, "instance stops")
	}
}

// spawn runs f in a goroutine that Start's channel waits for. It returns false
// if the exchange does not run.
func (e *Exchange) spawn(f func() error) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.tasks == nil {
		return false
	}
	e.tasks.Go(f)
	return true
}

// SetStatus sets the status of this instance. Changes of ready, leaving and
// suspect are published immediately, changes of the request rate at most once
// per minRateInterval. The rate is in requests per second.
func (e *Exchange) SetStatus(ready, leaving, suspect bool, revision savorystep.Revision, rate float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.config.Clock.Now()
	old := e.localStatus
	e.localStatus.Ready, e.localStatus.Leaving, e.localStatus.LinkSuspect = ready, leaving, suspect
	e.localStatus.RequestRate = rate
	e.localStatus.Revision = max(old.Revision, revision)
	e.raiseLocalRevision(e.localStatus.Revision)
	changed := old.Ready != ready || old.Leaving != leaving || old.LinkSuspect != suspect
	if changed || (isRateChanged(e.publishedRate(), rate) && now.Sub(e.statusPublishedAt) >= e.minRateInterval()) {
		e.publishStatus(now)
	}
}

// publishedRate returns the request rate in the newest published status.
func (e *Exchange) publishedRate() float64 {
	if m := e.store.members[e.config.Self.ID]; m != nil {
		return m.status.RequestRate
	}
	return 0
}

// isRateChanged reports whether a request rate has changed enough to publish a
// new status.
func isRateChanged(old, rate float64) bool {
	const minRelative, minAbsolute = 0.1, 1
	return rate-old > max(minAbsolute, minRelative*old) || old-rate > max(minAbsolute, minRelative*old)
}

// minRateInterval returns the minimum time between statuses that differ only in
// the request rate. It grows with the number of instances, so that these
// statuses use less than a fifth of the byte budget: each instance sends each
// status about forwardCount times.
func (e *Exchange) minRateInterval() time.Duration {
	const statusBytes, budgetDivisor, minInterval = 150, 5, time.Second
	bytes := len(e.store.members) * statusBytes * forwardCount
	return max(minInterval, time.Duration(float64(bytes*budgetDivisor)/float64(e.config.BytesPerSecond)*float64(time.Second)))
}

// publishStatus publishes the local status with a new sequence.
func (e *Exchange) publishStatus(now time.Time) {
	body, err := statusCodec.Encode(e.localStatus)
	if err != nil {
		logger.Errorf("encode status: %v", err)
		return
	}
	e.statusPublishedAt = now
	e.disseminate(e.store.addLocal(now, savorystep.FactStatus, "", body), nil)
}

// raiseLocalRevision records the revision in force at this instance.
func (e *Exchange) raiseLocalRevision(revision savorystep.Revision) {
	latest := e.store.revisions.latest
	if m := e.store.members[e.config.Self.ID]; m != nil {
		e.store.revisions.raise(m, revision)
	}
	if e.store.revisions.latest > latest {
		e.announceRevision()
	}
}

// announceRevision wakes all links, which then send the latest revision.
func (e *Exchange) announceRevision() {
	for _, l := range e.links {
		l.wakeWriter()
	}
}

// Members returns the members that are not lost, ordered by ID. The caller must
// not modify the result. The last heartbeat of a member is the current time
// unless a peer suspects it. An isolated instance returns only itself.
func (e *Exchange) Members(now time.Time) []savorystep.Member {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.members(now)
}

// MembersAndReported returns Members and the greatest revision that was reported of
// instances whose status has not arrived. Both are of the same moment, since a report
// moves to the member when its status arrives.
func (e *Exchange) MembersAndReported(now time.Time) ([]savorystep.Member, savorystep.Revision) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.members(now), e.store.reportedRevision(now)
}

func (e *Exchange) members(now time.Time) []savorystep.Member {
	if e.snapshot.version == e.store.version() && now.Before(e.snapshot.expiresAt) {
		return e.snapshot.members
	}
	e.snapshot = snapshot{version: e.store.version(), expiresAt: now.Add(snapshotLifetime)}
	if e.isIsolated(now) {
		self := e.config.Self.ID
		e.snapshot.members = []savorystep.Member{e.store.member(now, self, e.store.members[self])}
	} else {
		e.snapshot.members = e.store.liveMembers(now)
	}
	return e.snapshot.members
}

// isIsolated reports whether this instance has received no frame for as long as
// it takes to declare a peer lost. Suspicions published by others no longer
// arrive, so it can't decide which members are alive.
func (e *Exchange) isIsolated(now time.Time) bool {
	for _, l := range e.links {
		if now.Sub(l.receivedAt) < e.config.PeerTimeout {
			return false
		}
	}
	return now.Sub(e.disconnectedAt) >= e.config.PeerTimeout+refutationTimeout(0)
}

// LatestRevision returns the greatest revision known to be in force at any
// instance, including lost ones.
func (e *Exchange) LatestRevision() savorystep.Revision {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.store.revisions.latest
}
