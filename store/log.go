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

// Log is the configuration log: the configuration in force at this instance
// and the way to change it.
type Log struct {
	config LogConfig
	state  *logState
	// ready stays true once the readiness rule held.
	ready atomic.Bool
	// heard receives the greatest revision that a peer reported.
	peerReport chan revisionReport
	// pushes receives the revision in force after it rose.
	pushRequests chan savorystep.Revision
}

// A heardRevision is a revision that a peer has in force.
type revisionReport struct {
	instance savorystep.InstanceID
	revision savorystep.Revision
}

// NewLog returns a configuration log at revision 0. It loads the configuration
// once it is started.
func NewLog(config LogConfig) *Log {
	l := &Log{
		config:       config.withDefaults(),
		state:        newLogState(),
		peerReport:   make(chan revisionReport, 1),
		pushRequests: make(chan savorystep.Revision, 1),
	}
	if l.config.Facts != nil {
		l.config.Facts.Subscribe(savorystep.FactRevision, l.onRevisionFact)
	}
	return l
}

// View returns the configuration in force.
func (l *Log) View() *savorystep.View {
	return l.state.view.Load()
}

// Changes returns the changes after a revision that this instance knows. If it
// no longer knows all of them, it returns the last change of each service; they
// are complete once a call returns none.
func (l *Log) Changes(after savorystep.Revision, limit int) []savorystep.Change {
	return l.state.changes(after, limit)
}

// Ready reports whether the configuration is known to be current: it was loaded
// from the table after the start, or it is the greatest that the members
// report. Once ready, the log stays ready.
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

// Wait waits until a revision is in force.
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

// advance puts changes in force and tells of it.
func (l *Log) install(changes []savorystep.Change, source string) {
	changes = l.state.install(changes)
	for _, change := range changes {
		l.recordEvent(savorystep.EventForce, change.Service, "revision %d is in force, from %s", change.Revision, source)
	}
	if len(changes) == 0 {
		return
	}
	select {
	case <-l.pushRequests: // The revision that was to be pushed is outdated.
	default:
	}
	select {
	case l.pushRequests <- changes[len(changes)-1].Revision:
	default: // Another caller just queued its revision; run pushes the view's.
	}
}
