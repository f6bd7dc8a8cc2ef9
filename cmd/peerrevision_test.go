package cmd

import (
	"testing"
	"time"

	"savorystep"
)

// fakePeerRevisions are fixed members and a fixed reported revision.
type fakePeerRevisions struct {
	members  []savorystep.Member
	reported savorystep.Revision
}

func (f *fakePeerRevisions) MembersAndReported(time.Time) ([]savorystep.Member, savorystep.Revision) {
	return f.members, f.reported
}

func (*fakePeerRevisions) Self() savorystep.Instance { return savorystep.Instance{ID: "self"} }

// TestPeerRevisionBeforeStatus guards against an instance that becomes ready at an old
// revision because the status of the peer that reported a later one has not arrived.
func TestPeerRevisionBeforeStatus(t *testing.T) {
	newMember := func(id savorystep.InstanceID, ready bool, revision savorystep.Revision) savorystep.Member {
		return savorystep.Member{StatusFact: savorystep.StatusFact{Instance: savorystep.Instance{ID: id}, Ready: ready, Revision: revision}}
	}
	tests := []struct {
		name     string
		members  []savorystep.Member
		reported savorystep.Revision
		revision savorystep.Revision
		isKnown  bool
	}{
		{name: "status of another member only", members: []savorystep.Member{newMember("a", true, 0)}, reported: 224, revision: 224, isKnown: true},
		{name: "later revision in a status", members: []savorystep.Member{newMember("a", true, 225)}, reported: 224, revision: 225, isKnown: true},
		{name: "no ready member", members: []savorystep.Member{newMember("self", true, 226), newMember("a", false, 3)}, revision: 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			revision, isKnown := newPeerRevision(&fakePeerRevisions{members: test.members, reported: test.reported})(time.Time{})
			if revision != test.revision || isKnown != test.isKnown {
				t.Errorf("revision %d, known %t, want %d, %t", revision, isKnown, test.revision, test.isKnown)
			}
		})
	}
}
