package peer

import (
	"cmp"
	"slices"
	"time"

	"savorystep"
)

// list returns the facts of a kind in order of instance and subject.
func (s *store) list(kind savorystep.FactKind) []savorystep.ReceivedFact {
	if kind == savorystep.FactRevision {
		return s.listRevisions()
	}
	facts := make([]savorystep.ReceivedFact, 0, len(s.facts[kind]))
	for _, e := range s.facts[kind] {
		facts = append(facts, savorystep.ReceivedFact{Fact: e.fact(), ReceivedAt: e.heard})
	}
	slices.SortFunc(facts, func(a, b savorystep.ReceivedFact) int {
		return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Subject, b.Subject))
	})
	return facts
}

// listRevisions returns a revision fact of each member that has one.
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

// revisionFact returns the revision of a member as a fact. Revisions only
// grow, so the revision serves as the sequence.
func revisionFact(id savorystep.InstanceID, m *member) savorystep.ReceivedFact {
	body, _ := revisionFacts.Encode(savorystep.RevisionFact{Revision: m.revision})
	return savorystep.ReceivedFact{
		Fact:       savorystep.Fact{Instance: id, Sequence: uint64(m.revision), Kind: savorystep.FactRevision, Body: body},
		ReceivedAt: m.heard,
	}
}

// alive returns the members that are not lost, in order of their IDs.
func (s *store) alive(now time.Time) []savorystep.Member {
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

// member returns a member as its users see it. A member that nobody suspects
// counts as heard now, since one of its monitors would state the suspicion.
func (s *store) member(now time.Time, id savorystep.InstanceID, m *member) savorystep.Member {
	status := m.status
	status.Revision = m.revision
	heard := now
	if current := s.suspicions[id]; current != nil && id != s.self {
		heard = current.since.Add(-s.silence)
	}
	return savorystep.Member{StatusFact: status, LastHeartbeat: heard}
}
