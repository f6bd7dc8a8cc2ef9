package peer

import (
	"cmp"
	"slices"
	"time"

	"savorystep"
)

// list returns the facts of a kind, ordered by instance and subject.
func (s *store) list(kind savorystep.FactKind) []savorystep.ReceivedFact {
	if kind == savorystep.FactRevision {
		return s.listRevisions()
	}
	facts := make([]savorystep.ReceivedFact, 0, len(s.facts[kind]))
	for _, e := range s.facts[kind] {
		facts = append(facts, savorystep.ReceivedFact{Fact: e.fact(), ReceivedAt: e.receivedAt})
	}
	slices.SortFunc(facts, func(a, b savorystep.ReceivedFact) int {
		return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Subject, b.Subject))
	})
	return facts
}

// listRevisions returns a revision fact for each member that has a revision,
// ordered by instance.
func (s *store) listRevisions() []savorystep.ReceivedFact {
	facts := make([]savorystep.ReceivedFact, 0, len(s.members))
	for id, m := range s.members {
		if m.revision > 0 {
			facts = append(facts, revisionFact(id, m))
		}
	}
	slices.SortFunc(facts, func(a, b savorystep.ReceivedFact) int {
		return cmp.Compare(a.Instance, b.Instance)
	})
	return facts
}

// revisionFact returns the revision of a member as a fact. Revisions never
// decrease, so the revision also serves as the sequence.
func revisionFact(id savorystep.InstanceID, m *member) savorystep.ReceivedFact {
	body, _ := revisionCodec.Encode(savorystep.RevisionFact{Revision: m.revision})
	return savorystep.ReceivedFact{
		Fact:       savorystep.Fact{Instance: id, Sequence: uint64(m.revision), Kind: savorystep.FactRevision, Body: body},
		ReceivedAt: m.receivedAt,
	}
}

// liveMembers returns the members that are not lost, ordered by ID.
func (s *store) liveMembers(now time.Time) []savorystep.Member {
	members := make([]savorystep.Member, 0, len(s.members))
	for id, m := range s.members {
		if !s.isLost(now, id) {
			members = append(members, s.member(now, id, m))
		}
	}
	slices.SortFunc(members, func(a, b savorystep.Member) int {
		return cmp.Compare(a.Instance.ID, b.Instance.ID)
	})
	return members
}

// member returns the public view of a member. A member that nobody suspects
// gets the current time as its last heartbeat, since one of its monitors would
// otherwise have published a suspicion.
func (s *store) member(now time.Time, id savorystep.InstanceID, m *member) savorystep.Member {
	status := m.status
	status.Revision = m.revision
	lastHeartbeat := now
	if current := s.suspicions[id]; current != nil && id != s.self {
		lastHeartbeat = current.startedAt.Add(-s.peerTimeout)
	}
	return savorystep.Member{StatusFact: status, LastHeartbeat: lastHeartbeat}
}
