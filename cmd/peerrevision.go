package cmd

import (
	"time"

	"savorystep"
)

// peerRevisions knows the revisions of the other members.
type peerRevisions interface {
	Self() savorystep.Instance
	// MembersAndReported returns the members and the greatest revision that was reported
	// of instances whose status has not arrived.
	MembersAndReported(now time.Time) ([]savorystep.Member, savorystep.Revision)
}

// newPeerRevision returns a function for the configuration log, which uses it to
// decide readiness while the platform is down. The function returns the greatest
// revision of the other members and whether any of them is ready. Members without
// a recent heartbeat do not count: no lookup answer contains them, so no caller
// can see their revision next to that of this instance. A reported instance counts
// before its status arrives, because the statuses that others pass on may be from
// before its revision.
func newPeerRevision(members peerRevisions) func(now time.Time) (savorystep.Revision, bool) {
	return func(now time.Time) (savorystep.Revision, bool) {
		known, maxRevision := members.MembersAndReported(now)
		anyReady := false
		for _, member := range known {
			if member.Instance.ID == members.Self().ID {
				continue
			}
			anyReady = anyReady || member.Ready
			maxRevision = max(maxRevision, member.Revision)
		}
		return maxRevision, anyReady
	}
}
