package store

import (
	"context"
	"sort"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/errgroup"

	"savorystep"
)

// pushTimeout bounds the wait for the acknowledgements of a pushed revision.
const pushTimeout = time.Second

// maxPollDelayInRestore bounds the time between two polls within the restore window.
const maxPollDelayInRestore = 5 * time.Second

// maxPeersQueried bounds the peers that are queried for changes in one round.
const maxPeersQueried = 3

// Start loads the configuration and then follows its changes. The channel
// yields once both have stopped after ctx ended.
func (l *Log) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() { done <- l.run(ctx) }()
	return done
}

func (l *Log) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return l.follow(ctx) })
	group.Go(func() error { return l.pushRevisions(ctx) })
	return group.Wait()
}

// onRevisionFact queues the revision that a peer reports if it is newer than
// the one in force. It does not block.
func (l *Log) onRevisionFact(fact savorystep.ReceivedFact) {
	var body savorystep.RevisionFact
	if err := cbor.Unmarshal(fact.Body, &body); err != nil || body.Revision <= l.View().Revision {
		return
	}
	peerReport := revisionReport{instance: fact.Instance, revision: body.Revision}
	select {
	case older := <-l.peerReport:
		if older.revision > peerReport.revision {
			peerReport = older
		}
	default:
	}
	select {
	case l.peerReport <- peerReport:
	default: // Another report is queued; fetching for either leads to the newest revision.
	}
}

// follow polls the head and fetches the changes that peers report.
func (l *Log) follow(ctx context.Context) error {
	for {
		l.poll(ctx)
		delay := savorystep.NextPollDelay(l.config.PollInterval, l.instanceCount())
		if l.guard.isOpen() {
			delay = min(delay, maxPollDelayInRestore)
		}
		timer := time.NewTimer(delay)
		for waiting := true; waiting; {
			select {
			case <-ctx.Done():
				timer.Stop()
				return nil
			case peerReport := <-l.peerReport:
				l.fetchReported(ctx, peerReport)
			case <-l.pollRequests:
				waiting = false
			case <-timer.C:
				waiting = false
			}
		}
	}
}

// instanceCount returns the number of known instances.
func (l *Log) instanceCount() int {
	if l.config.Members == nil {
		return 1
	}
	return len(l.config.Members.Members(l.config.Clock.Now()))
}

// poll catches up from the table or, if that fails, from peers.
func (l *Log) poll(ctx context.Context) {
	if err := l.catchUpFromTable(ctx); err != nil {
		log.Debugf("poll the configuration log: %v", err)
		l.catchUpFromPeers(ctx, revisionReport{})
	}
}

// fetchReported fetches the changes up to a revision that a peer reported.
func (l *Log) fetchReported(ctx context.Context, report revisionReport) {
	if report.revision <= l.View().Revision {
		return
	}
	if l.instanceCount() > maxTableFirstInstances {
		l.catchUpFromPeers(ctx, report)
	}
	if report.revision <= l.View().Revision {
		return
	}
	if err := l.catchUpFromTable(ctx); err != nil || l.View().Revision < report.revision {
		l.catchUpFromPeers(ctx, report)
	}
}

// catchUpFromTable reads the head and catches up with it from the table. A
// success proves that the configuration is current, so the log is then ready.
func (l *Log) catchUpFromTable(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, l.config.ReadTimeout)
	defer cancel()
	row, head, err := l.head(ctx)
	if err != nil {
		return err
	}
	era := row.Era.OrFirst()
	isBehind := era > savorystep.FirstStoreEra && head < l.View().Revision // A late response was of an earlier era.
	if isBehind || uint32(era) > l.reconciledEra.Load() {
		if head, err = l.reconcile(ctx, row, head); err != nil {
			return err
		}
	}
	l.followEra(ctx)
	if head < l.View().Revision {
		return malformedError("log", "head %d is below the revision in force, %d", head, l.View().Revision)
	}
	if err := l.catchUp(ctx, head); err != nil {
		return err
	}
	if l.isReconciled(row.Era) {
		l.ready.Store(true)
	}
	return nil
}

// catchUpFromPeers fetches changes from the peer that sent the report and from
// the other peers with greater revisions, greatest first.
func (l *Log) catchUpFromPeers(ctx context.Context, report revisionReport) {
	if l.config.Peers == nil {
		return
	}
	for i, peer := range l.peersAhead(report) {
		if i == maxPeersQueried || ctx.Err() != nil {
			return
		}
		changes, err := l.fetchFromPeer(ctx, peer.instance)
		if err != nil {
			log.Debugf("fetch changes from %s: %v", peer.instance, err)
			continue
		}
		l.install(changes, string(peer.instance))
	}
}

// peersAhead returns the peers with a greater revision than this instance, the
// greatest first.
func (l *Log) peersAhead(report revisionReport) []revisionReport {
	own := l.View().Revision
	var peersAhead []revisionReport
	if report.revision > own {
		peersAhead = append(peersAhead, report)
	}
	if l.config.Members == nil {
		return peersAhead
	}
	self := l.config.Members.Self().ID
	for _, member := range l.config.Members.Members(l.config.Clock.Now()) {
		id := member.Instance.ID
		if member.Revision > own && id != self && id != report.instance {
			peersAhead = append(peersAhead, revisionReport{instance: id, revision: member.Revision})
		}
	}
	sort.SliceStable(peersAhead, func(i, j int) bool { return peersAhead[i].revision > peersAhead[j].revision })
	return peersAhead
}

// fetchFromPeer fetches all changes after the revision in force that a peer
// has. The peer may omit changes that later ones replaced, so the changes are
// complete only once the peer returns no more.
func (l *Log) fetchFromPeer(ctx context.Context, id savorystep.InstanceID) ([]savorystep.Change, error) {
	ctx, cancel := context.WithTimeout(ctx, l.config.ReadTimeout)
	defer cancel()
	var changes []savorystep.Change
	after := l.View().Revision
	for {
		page, err := l.config.Peers.ChangesFrom(ctx, id, after, pageSize)
		if err != nil || len(page) == 0 {
			return changes, err
		}
		for _, change := range page {
			if err := checkChange(change); err != nil {
				return nil, malformedError("change", "%v", err)
			}
			if change.Revision <= after {
				return nil, malformedError("change", "revision %d after %d", change.Revision, after)
			}
			after = change.Revision
		}
		changes = append(changes, page...)
	}
}

// pushRevisions pushes the revision in force to peers whenever it rises.
func (l *Log) pushRevisions(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.pushRequests:
		}
		if l.config.Facts == nil {
			continue
		}
		pushCtx, cancel := context.WithTimeout(ctx, pushTimeout)
		l.config.Facts.Broadcast(pushCtx, savorystep.FactRevision, "", savorystep.RevisionFact{Revision: l.View().Revision})
		cancel()
	}
}
