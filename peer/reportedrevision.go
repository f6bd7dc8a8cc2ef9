package peer

import (
	"time"

	"savorystep"
)

// A reportedRevision is the revision in force at an instance whose status has not
// arrived, so that the instance is no member yet.
type reportedRevision struct {
	revision   savorystep.Revision
	reportedAt time.Time
}

// recordForwardedRevision records the revision in force at an instance that another one
// reported. A revision that is not new is left out unless the instance is a member:
// otherwise two instances could keep the report of one that is gone for ever.
func (e *Exchange) recordForwardedRevision(now time.Time, reported memberRevision) {
	if e.store.members[reported.instance] != nil || reported.revision > e.store.revisions.latest {
		e.recordRevision(now, reported)
	}
}

// recordRevision records the revision in force at an instance. It counts also if the
// status of the instance arrives later.
func (e *Exchange) recordRevision(now time.Time, reported memberRevision) {
	id := reported.instance
	if reported.revision == 0 || id == e.config.Self.ID {
		return
	}
	if m := e.store.members[id]; m != nil {
		if e.store.revisions.raise(m, reported.revision) {
			e.notify(revisionFact(id, m))
		}
		return
	}
	if e.store.tombstones[id].sequence == endedSequence {
		return
	}
	// The revision is passed on with the statuses of other members.
	e.store.revisions.raiseLatest(reported.revision)
	e.store.reported[id] = reportedRevision{revision: max(reported.revision, e.store.reported[id].revision), reportedAt: now}
}

// applyReportedRevisions records the reported revisions of those instances whose status
// has arrived.
func (e *Exchange) applyReportedRevisions(now time.Time) {
	for id, report := range e.store.reported {
		if e.store.members[id] != nil {
			delete(e.store.reported, id)
			e.recordRevision(now, memberRevision{revision: report.revision, instance: id})
		}
	}
}

// reportedRevision returns the greatest revision that was reported of instances whose
// status has not arrived.
func (s *store) reportedRevision(now time.Time) savorystep.Revision {
	var greatest savorystep.Revision
	for _, report := range s.reported {
		if !s.isReportExpired(now, report) {
			greatest = max(greatest, report.revision)
		}
	}
	return greatest
}

// isReportExpired reports whether an instance that was reported once and is silent since
// would be lost if it were a member.
func (s *store) isReportExpired(now time.Time, report reportedRevision) bool {
	return now.Sub(report.reportedAt) >= s.peerTimeout+refutationTimeout(0)
}
