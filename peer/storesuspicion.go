package peer

import (
	"slices"
	"time"

	"savorystep"
)

// admitSuspicion adds a report to the suspicion of an instance. It returns false
// if the report is invalid or a newer status or suspicion is known.
func (s *store) admitSuspicion(now time.Time, fact savorystep.Fact) bool {
	body, err := suspicionCodec.Decode(fact.Body)
	if err != nil {
		return false
	}
	subject := savorystep.InstanceID(fact.Subject)
	if m := s.members[subject]; m != nil && m.sequence > body.Sequence {
		return false
	}
	if stone, hasTombstone := s.tombstones[subject]; hasTombstone && stone.sequence == endedSequence {
		return false
	}
	current := s.suspicions[subject]
	if current == nil || current.sequence < body.Sequence {
		s.clearSuspicion(subject)
		current = &suspicion{sequence: body.Sequence, startedAt: now}
		s.suspicions[subject] = current
	}
	if current.sequence > body.Sequence {
		return false
	}
	s.membershipVersion++
	if !slices.Contains(current.reporters, fact.Instance) {
		current.reporters = append(current.reporters, fact.Instance)
	}
	return true
}

// clearSuspicion removes a suspicion and the facts that report it.
func (s *store) clearSuspicion(subject savorystep.InstanceID) {
	suspected := s.suspicions[subject]
	if suspected == nil {
		return
	}
	s.membershipVersion++
	delete(s.suspicions, subject)
	for _, reporter := range suspected.reporters {
		key := factKey{kind: factSuspicion, instance: reporter, subject: string(subject)}
		if e := s.facts[factSuspicion][key]; e != nil {
			s.remove(e)
		}
	}
}

// suspect publishes a suspicion of an instance that this one no longer receives
// frames from. It returns nil if maxSuspicionReporters instances or this one
// have reported it already, or if the instance is not a member.
func (s *store) suspect(now time.Time, id savorystep.InstanceID) *entry {
	m := s.members[id]
	if m == nil || id == s.self {
		return nil
	}
	if current := s.suspicions[id]; current != nil && (len(current.reporters) >= maxSuspicionReporters || slices.Contains(current.reporters, s.self)) {
		return nil
	}
	body, err := suspicionCodec.Encode(suspicionFact{Sequence: m.sequence})
	if err != nil {
		return nil
	}
	return s.addLocal(now, factSuspicion, string(id), body)
}

// isSelfSuspected reports whether others suspect this instance in spite of its
// newest status, so that it must publish a new one.
func (s *store) isSelfSuspected() bool {
	current := s.suspicions[s.self]
	return current != nil && s.members[s.self] != nil && current.sequence >= s.members[s.self].sequence
}

// isLost reports whether an instance was suspected and did not refute the
// suspicion in time.
func (s *store) isLost(now time.Time, id savorystep.InstanceID) bool {
	current := s.suspicions[id]
	return id != s.self && current != nil && now.Sub(current.startedAt) >= refutationTimeout(len(s.members))
}
