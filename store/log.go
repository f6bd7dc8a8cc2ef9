package store

import (
	"context"
	"sync/atomic"

	"savorystep"
)

var (
	_ savorystep.ChangeSource = &Log{}
	_ savorystep.Config       = &Log{}
	_ savorystep.Runner       = &Log{}
)

// Log is the configuration log. It holds the configuration in force at this
// instance and applies changes to it.
type Log struct {
	config LogConfig
	state  *logState
	// proposals are recorded as applied when they come into force.
	proposals *proposals
	// ready stays true once the readiness rule was fulfilled.
	ready atomic.Bool
	// peerReport buffers the greatest revision that a peer reported.
	peerReport chan revisionReport
	// pushRequests buffers the revision in force each time it rises.
	pushRequests chan savorystep.Revision
	// pollRequests buffers a request for an immediate poll.
	pollRequests chan struct{}

	guard  *restoreGuard
	marker *eraMarker
	// markedEra is the latest era whose marker is written. Only follow uses it.
	markedEra savorystep.StoreEra
	// reconciledEra is the era of the table that the configuration in force fits.
	reconciledEra atomic.Uint32
}

// A revisionReport is the revision in force at a peer.
type revisionReport struct {
	instance savorystep.InstanceID
	revision savorystep.Revision
}

// NewLog returns a configuration log at revision 0, which must be started. It
// loads the configuration after the start.
func NewLog(config LogConfig) *Log {
	config = config.withDefaults()
	guard := newRestoreGuard(logRestoreWindow, maxLogSilence)
	l := &Log{
		config:       config,
		state:        newLogState(),
		proposals:    newProposals(),
		peerReport:   make(chan revisionReport, 1),
		pushRequests: make(chan savorystep.Revision, 1),
		pollRequests: make(chan struct{}, 1),
		guard:        guard,
		marker:       &eraMarker{table: config.Table, clock: config.Clock, key: logEraRowKey, guard: guard},
		markedEra:    savorystep.FirstStoreEra,
	}
	l.reconciledEra.Store(uint32(savorystep.FirstStoreEra))
	if l.config.Facts != nil {
		l.config.Facts.Subscribe(savorystep.FactRevision, l.onRevisionFact)
	}
	return l
}

// View returns the configuration in force.
func (l *Log) View() *savorystep.View {
	return l.state.view.Load()
}

// Changes returns at most limit of the changes after a revision, in order. If
// this instance no longer has all of them, it returns the last change of each
// service instead; those are complete once a call returns none.
func (l *Log) Changes(after savorystep.Revision, limit int) []savorystep.Change {
	return l.state.changes(after, limit)
}

// Ready reports whether the configuration is known to be current: it was loaded
// from the table after the start, or it has the greatest revision that the
// members report. Once ready, the log stays ready.
func (l *Log) Ready() bool {
	if l.ready.Load() {
		return true
	}
	if l.config.PeerRevision == nil {
		return false
	}
	revision, known := l.config.PeerRevision(l.config.Clock.Now())
	if !known || l.View().Revision < revision {
		return false
	}
	l.ready.Store(true)
	return true
}

// Wait waits until a revision is in force. The error has kind
// KindDeadlineExceeded if ctx ends first.
func (l *Log) Wait(ctx context.Context, revision savorystep.Revision) error {
	for revision > 0 {
		raised := l.state.raisedAbove(revision - 1)
		if raised == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return savorystep.WrapError(savorystep.KindDeadlineExceeded, ctx.Err(), "revision %d is not in force", revision)
		case <-raised:
		}
	}
	return nil
}

// install puts changes in force, records the events and requests a push of the
// new revision to peers.
func (l *Log) install(changes []savorystep.Change, source string) {
	changes = l.state.install(changes)
	for _, change := range changes {
		l.recordApplied(change)
		l.recordEvent(savorystep.EventForce, change.Service, "revision %d is in force, from %s", change.Revision, source)
	}
	if len(changes) == 0 {
		return
	}
	select {
	case <-l.pushRequests: // The queued revision is outdated.
	default:
	}
	select {
	case l.pushRequests <- changes[len(changes)-1].Revision:
	default: // Another call has just queued its revision; pushRevisions sends the one in force.
	}
}
