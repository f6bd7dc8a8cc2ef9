package peer

import (
	"time"

	"savorystep"
)

// A store holds the facts and the membership that follows from them. It does
// no I/O, reads no clock and is not safe for concurrent use.
type store struct {
	self     savorystep.InstanceID
	silence  time.Duration
	sequence uint64

	facts      map[savorystep.FactKind]map[factKey]*entry
	members    map[savorystep.InstanceID]*member
	suspicions map[savorystep.InstanceID]*suspicion
	tombstones map[savorystep.InstanceID]tombstone

	// buckets holds the facts that all instances shall hear, digest the sum
	// of the checksums of each bucket.
	buckets [bucketCount]map[factKey]*entry
	digest  [bucketCount]uint32

	revisions revisionTable
	// changes counts the changes of the membership.
	changes uint64
}

// version changes when the members or their revisions change.
func (s *store) version() uint64 {
	return s.changes + s.revisions.version
}

var (
	healthFacts    = Codec[savorystep.HealthFact]{Limit: maxBody}
	inFlightFacts  = Codec[savorystep.InFlightFact]{Limit: maxBody}
	statuses       = Codec[savorystep.StatusFact]{Limit: maxBody}
	revisionFacts  = Codec[savorystep.RevisionFact]{Limit: maxBody}
	suspicionFacts = Codec[suspicionFact]{Limit: maxBody}
)

func newStore(self savorystep.InstanceID, silence time.Duration) *store {
	s := &store{
		self:       self,
		silence:    silence,
		facts:      make(map[savorystep.FactKind]map[factKey]*entry),
		members:    make(map[savorystep.InstanceID]*member),
		suspicions: make(map[savorystep.InstanceID]*suspicion),
		tombstones: make(map[savorystep.InstanceID]tombstone),
	}
	for i := range s.buckets {
		s.buckets[i] = make(map[factKey]*entry)
	}
	return s
}

// state makes an own fact with the next sequence. It returns nil if the fact
// is out of bounds.
func (s *store) state(now time.Time, kind savorystep.FactKind, subject string, body []byte) *entry {
	if len(subject) > maxName || len(body) > maxBody {
		return nil
	}
	s.sequence++
	fact := savorystep.Fact{Instance: s.self, Sequence: s.sequence, Kind: kind, Subject: subject, Body: body}
	return s.merge(now, fact, now)
}

// merge takes a fact that was stated at the time born. It returns the new
// entry, or nil if the fact is not new, has expired, is not valid, or is of a
// forgotten instance.
func (s *store) merge(now time.Time, fact savorystep.Fact, born time.Time) *entry {
	key := factKey{kind: fact.Kind, instance: fact.Instance, subject: fact.Subject}
	old := s.facts[fact.Kind][key]
	if old != nil && old.sequence >= fact.Sequence {
		return nil
	}
	if life := lifetime(fact.Kind); life > 0 && now.Sub(born) >= life {
		return nil
	}
	if !s.admit(now, fact, old) {
		return nil
	}
	e := &entry{key: key, sequence: fact.Sequence, body: fact.Body, born: born, heard: now, idle: isIdle(fact)}
	if old != nil {
		e.key, e.hash = old.key, old.hash
		s.remove(old)
	} else {
		e.hash = key.hash()
	}
	s.insert(e)
	return e
}

// admit reports whether a fact may enter the store, and lets statuses and
// suspicions take effect.
func (s *store) admit(now time.Time, fact savorystep.Fact, old *entry) bool {
	dead, forgotten := s.tombstones[fact.Instance]
	switch fact.Kind {
	case savorystep.FactStatus:
		if forgotten && fact.Sequence <= dead.sequence {
			return false
		}
		return s.admitStatus(now, fact)
	case factSuspicion:
		// A suspicion of this instance counts even from one that is forgotten
		// here, so that both sides of a healed partition can refute.
		return (!forgotten || fact.Subject == string(s.self)) && s.admitSuspicion(now, fact)
	case savorystep.FactRevision:
		// Revisions travel in vectors.
		return false
	case savorystep.FactUnknown:
		return !forgotten && (old != nil || s.makeRoom(fact, s.unknownQuota()))
	default:
		return !forgotten && (old != nil || s.makeRoom(fact, maxSubjects))
	}
}

func (s *store) admitStatus(now time.Time, fact savorystep.Fact) bool {
	status, err := statuses.Decode(fact.Body)
	if err != nil || status.Instance.ID != fact.Instance || fact.Subject != "" {
		return false
	}
	delete(s.tombstones, fact.Instance)
	m := s.members[fact.Instance]
	if m == nil {
		m = &member{hash: hashID(fact.Instance)}
		s.members[fact.Instance] = m
		s.revisions.add(fact.Instance, m)
	}
	s.changes++
	m.status, m.sequence, m.heard = status, fact.Sequence, now
	s.revisions.raise(m, status.Revision)
	if suspected := s.suspicions[fact.Instance]; suspected != nil && suspected.sequence < fact.Sequence {
		s.clearSuspicion(fact.Instance)
	}
	return true
}

// end forgets an instance that the platform lists as ended. The list never
// says so of a running instance, so no status brings it back.
func (s *store) end(now time.Time, instance savorystep.Instance) {
	if dead, forgotten := s.tombstones[instance.ID]; instance.ID == s.self || (forgotten && dead.sequence == endedSequence) {
		return
	}
	s.forget(instance.ID)
	s.clearSuspicion(instance.ID)
	s.addTombstone(instance.ID, tombstone{instance: instance, sequence: endedSequence, until: now.Add(tombstoneLifetime)})
}

// addTombstone adds a tombstone. When there are too many, one is dropped.
func (s *store) addTombstone(id savorystep.InstanceID, g tombstone) {
	if len(s.tombstones) >= maxTombstones {
		for other := range s.tombstones {
			delete(s.tombstones, other)
			break
		}
	}
	s.tombstones[id] = g
}

// forget drops all facts of an instance.
func (s *store) forget(id savorystep.InstanceID) {
	for _, facts := range s.facts {
		for key, e := range facts {
			if key.instance == id {
				s.remove(e)
			}
		}
	}
	if m := s.members[id]; m != nil {
		s.revisions.drop(id, m)
		delete(s.members, id)
		s.changes++
	}
}

// expire drops what is too old.
func (s *store) expire(now time.Time) {
	for id, suspected := range s.suspicions {
		m := s.members[id]
		if m != nil && s.isLost(now, id) && now.Sub(suspected.since) >= refuteWindow(len(s.members))+forgetAfter {
			s.addTombstone(id, tombstone{instance: m.status.Instance, sequence: m.sequence, until: now.Add(tombstoneLifetime)})
			s.forget(id)
		}
	}
	for _, facts := range s.facts {
		for _, e := range facts {
			if s.isExpired(now, e) {
				s.remove(e)
			}
		}
	}
	for id, g := range s.tombstones {
		if !now.Before(g.until) {
			delete(s.tombstones, id)
			s.clearSuspicion(id)
		}
	}
}

// isExpired reports whether a fact is too old, says nothing, or is of an
// instance that is not known.
func (s *store) isExpired(now time.Time, e *entry) bool {
	if e.idle && now.Sub(e.born) >= idleLifetime {
		return true
	}
	if life := lifetime(e.key.kind); life > 0 && now.Sub(e.born) >= life {
		return true
	}
	return s.members[e.key.instance] == nil && e.key.kind != factSuspicion && now.Sub(e.heard) >= forgetAfter
}

// unknownQuota returns how many unknown names are kept of each instance.
func (s *store) unknownQuota() int {
	return min(maxUnknownEach, max(1, maxUnknown/max(1, len(s.members))))
}

// makeRoom drops the oldest fact of the fact's instance and kind if there are
// too many. Keeping the greatest sequences gives the same result in any order.
// It returns false if the fact itself is the oldest.
func (s *store) makeRoom(fact savorystep.Fact, quota int) bool {
	var oldest *entry
	count := 0
	for key, e := range s.facts[fact.Kind] {
		if key.instance != fact.Instance {
			continue
		}
		count++
		if oldest == nil || e.sequence < oldest.sequence {
			oldest = e
		}
	}
	if count < quota {
		return true
	}
	if oldest.sequence > fact.Sequence {
		return false
	}
	s.remove(oldest)
	return true
}

func (s *store) insert(e *entry) {
	facts := s.facts[e.key.kind]
	if facts == nil {
		facts = make(map[factKey]*entry)
		s.facts[e.key.kind] = facts
	}
	facts[e.key] = e
	if !isScoped(e.key.kind) {
		bucket := bucketOf(e.key.instance)
		s.buckets[bucket][e.key] = e
		s.digest[bucket] ^= e.checksum()
	}
}

func (s *store) remove(e *entry) {
	if s.facts[e.key.kind][e.key] != e {
		return
	}
	delete(s.facts[e.key.kind], e.key)
	if !isScoped(e.key.kind) {
		bucket := bucketOf(e.key.instance)
		delete(s.buckets[bucket], e.key)
		s.digest[bucket] ^= e.checksum()
	}
}

// get returns the entry of a key or nil.
func (s *store) get(key factKey) *entry {
	return s.facts[key.kind][key]
}
