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

// maxAsked bounds the peers that are asked for changes in one round.
const maxAsked = 3

// Start loads the configuration and then follows its changes.
func (l *Log) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() { done <- l.run(ctx) }()
	return done
}

func (l *Log) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return l.follow(ctx) })
	group.Go(func() error { return l.push(ctx) })
	return group.Wait()
}

// hear takes a revision that an instance reports. It does not block.
func (l *Log) hear(fact savorystep.ReceivedFact) {
	var body savorystep.RevisionFact
	if err := cbor.Unmarshal(fact.Body, &body); err != nil || body.Revision <= l.View().Revision {
		return
	}
	heard := heardRevision{instance: fact.Instance, revision: body.Revision}
	select {
	case older := <-l.heard:
		if older.revision > heard.revision {
			heard = older
		}
	default:
	}
	select {
	case l.heard <- heard:
	default: // Another report is queued; each leads to the newest revision.
	}
}

// follow polls the head and fetches changes that peers report.
func (l *Log) follow(ctx context.Context) error {
	for {
		l.poll(ctx)
		timer := time.NewTimer(savorystep.PollPeriod(l.config.Period, l.instances()))
		for waiting := true; waiting; {
			select {
			case <-ctx.Done():
				timer.Stop()
				return nil
			case heard := <-l.heard:
				l.fetch(ctx, heard)
			case <-timer.C:
				waiting = false
			}
		}
	}
}

// instances returns how many instances there are.
func (l *Log) instances() int {
	if l.config.Members == nil {
		return 1
	}
	return len(l.config.Members.Members(l.config.Clock.Now()))
}

// poll reads the head and catches up, from peers if the table fails.
func (l *Log) poll(ctx context.Context) {
	if err := l.fromTable(ctx); err != nil {
		log.Debugf("poll: %v", err)
		l.fromPeers(ctx, heardRevision{})
	}
}

// fetch gets the changes up to a revision that a peer reported.
func (l *Log) fetch(ctx context.Context, heard heardRevision) {
	if heard.revision <= l.View().Revision {
		return
	}
	if l.instances() > tableFirst {
		l.fromPeers(ctx, heard)
	}
	if heard.revision <= l.View().Revision {
		return
	}
	if err := l.fromTable(ctx); err != nil || l.View().Revision < heard.revision {
		l.fromPeers(ctx, heard)
	}
}

// fromTable catches up from the table. A success shows that the configuration
// is current, so the log is then ready.
func (l *Log) fromTable(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, l.config.Slow)
	defer cancel()
	head, err := l.head(ctx)
	if err != nil {
		return err
	}
	if head < l.View().Revision {
		return malformed("log", "head %d is below the revision in force, %d", head, l.View().Revision)
	}
	if err := l.catchUp(ctx, head); err != nil {
		return err
	}
	l.ready.Store(true)
	return nil
}

// fromPeers catches up from the peer that reported a revision, or else from
// those that report the greatest ones.
func (l *Log) fromPeers(ctx context.Context, heard heardRevision) {
	if l.config.Peers == nil {
		return
	}
	for i, peer := range l.candidates(heard) {
		if i == maxAsked || ctx.Err() != nil {
			return
		}
		changes, err := l.askPeer(ctx, peer.instance)
		if err != nil {
			log.Debugf("changes from %s: %v", peer.instance, err)
			continue
		}
		l.advance(changes, string(peer.instance))
	}
}

// candidates returns the peers that have a greater revision than this instance,
// the greatest first.
func (l *Log) candidates(heard heardRevision) []heardRevision {
	own := l.View().Revision
	var candidates []heardRevision
	if heard.revision > own {
		candidates = append(candidates, heard)
	}
	if l.config.Members == nil {
		return candidates
	}
	self := l.config.Members.Self().ID
	for _, member := range l.config.Members.Members(l.config.Clock.Now()) {
		id := member.Instance.ID
		if member.Revision > own && id != self && id != heard.instance {
			candidates = append(candidates, heardRevision{instance: id, revision: member.Revision})
		}
	}
	sort.SliceStable(candidates, func(i, j int) bool { return candidates[i].revision > candidates[j].revision })
	return candidates
}

// askPeer fetches all changes that a peer knows after the revision in force.
// The peer may leave out changes that later ones replaced, so the changes are
// complete only once the peer has no more.
func (l *Log) askPeer(ctx context.Context, id savorystep.InstanceID) ([]savorystep.Change, error) {
	ctx, cancel := context.WithTimeout(ctx, l.config.Slow)
	defer cancel()
	var changes []savorystep.Change
	after := l.View().Revision
	for {
		more, err := l.config.Peers.ChangesFrom(ctx, id, after, page)
		if err != nil || len(more) == 0 {
			return changes, err
		}
		for _, change := range more {
			if err := checkChange(change); err != nil {
				return nil, malformed("change", "%v", err)
			}
			if change.Revision <= after {
				return nil, malformed("change", "revision %d after %d", change.Revision, after)
			}
			after = change.Revision
		}
		changes = append(changes, more...)
	}
}

// push tells peers of the revision in force whenever it rises.
func (l *Log) push(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.pushes:
		}
		if l.config.Facts == nil {
			continue
		}
		timeout, cancel := context.WithTimeout(ctx, pushTimeout)
		l.config.Facts.Broadcast(timeout, savorystep.FactRevision, "", savorystep.RevisionFact{Revision: l.View().Revision})
		cancel()
	}
}
