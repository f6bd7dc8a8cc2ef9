package peer

import (
	"slices"
	"time"

	"savorystep"
)

func (s *store) admitSuspicion(now time.Time, fact savorystep.Fact) bool {
	body, err := suspicionFacts.Decode(fact.Body)
	if err != nil {
		return false
	}
	subject := savorystep.InstanceID(fact.Subject)
	if m := s.members[subject]; m != nil && m.sequence > body.Sequence {
		return false
	}
	if dead, forgotten := s.tombstones[subject]; forgotten && dead.sequence == endedSequence {
		return false
	}
	current := s.suspicions[subject]
	if current == nil || current.sequence < body.Sequence {
		s.clearSuspicion(subject)
		current = &suspicion{sequence: body.Sequence, since: now}
		s.suspicions[subject] = current
	}
	if current.sequence > body.Sequence {
		return false
	}
	s.changes++
	if !slices.Contains(current.by, fact.Instance) {
		current.by = append(current.by, fact.Instance)
	}
	return true
}

// clearSuspicion drops a suspicion and the facts that state it.
func (s *store) clearSuspicion(subject savorystep.InstanceID) {
	suspected := s.suspicions[subject]
	if suspected == nil {
		return
	}
	s.changes++
	delete(s.suspicions, subject)
	for _, by := range suspected.by {
		key := factKey{kind: factSuspicion, instance: by, subject: string(subject)}
		if e := s.facts[factSuspicion][key]; e != nil {
			s.remove(e)
		}
	}
}

// suspect states that an instance is no longer heard. It returns nil if enough
// others have stated it or the instance is not known.
func (s *store) suspect(now time.Time, id savorystep.InstanceID) *entry {
	m := s.members[id]
	if m == nil || id == s.self {
		return nil
	}
	if current := s.suspicions[id]; current != nil && (len(current.by) >= maxSuspecters || slices.Contains(current.by, s.self)) {
		return nil
	}
	body, err := suspicionFacts.Encode(suspicionFact{Sequence: m.sequence})
	if err != nil {
		return nil
	}
	return s.state(now, factSuspicion, string(id), body)
}

// isSelfSuspected reports whether others suspect this instance under its
// newest status, so that it has to state a new one.
func (s *store) isSelfSuspected() bool {
	current := s.suspicions[s.self]
	return current != nil && s.members[s.self] != nil && current.sequence >= s.members[s.self].sequence
}

// isLost reports whether an instance was suspected and did not refute in time.
func (s *store) isLost(now time.Time, id savorystep.InstanceID) bool {
	current := s.suspicions[id]
	return id != s.self && current != nil && now.Sub(current.since) >= refuteWindow(len(s.members))
}
