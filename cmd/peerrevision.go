package cmd

import (
	"time"

	"savorystep"
)

// newPeerRevision returns the part of the readiness rule that holds while the
// platform is down: some other member is ready, and the greatest revision is
// known of every member with a recent heartbeat. A member without one is in no
// lookup answer, so no caller can compare the two.
func newPeerRevision(members savorystep.Members) func(now time.Time) (savorystep.Revision, bool) {
	return func(now time.Time) (savorystep.Revision, bool) {
		var greatest savorystep.Revision
		ready := false
		for _, member := range members.Members(now) {
			if member.Instance.ID == members.Self().ID {
				continue
			}
			ready = ready || member.Ready
			greatest = max(greatest, member.Revision)
		}
		return greatest, ready
	}
}
