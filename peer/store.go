package peer

import (
	"time"

	"savorystep"
)

// A store holds the facts and the membership that results from them. It does no
// I/O, reads no clock, and is not safe for concurrent use.
type store struct {
	self         savorystep.InstanceID
	peerTimeout  time.Duration
	lastSequence uint64

	facts      map[savorystep.FactKind]map[factKey]*entry
	members    map[savorystep.InstanceID]*member
	suspicions map[savorystep.InstanceID]*suspicion
	tombstones map[savorystep.InstanceID]tombstone

	// buckets holds the facts that are gossiped to all instances. digest holds
	// the XOR of the fact checksums of each bucket.
	buckets [bucketCount]map[factKey]*entry
	digest  [bucketCount]uint32

	revisions revisionTable
	// reported holds the revisions of instances whose status has not arrived, and those
	// of unnamed instances under "".
	reported map[savorystep.InstanceID]reportedRevision
	// membershipVersion counts the changes of the membership.
	membershipVersion uint64
}

// version returns a number that increases when the members or their revisions
// change.
func (s *store) version() uint64 {
	return s.membershipVersion + s.revisions.version
}

var (
	healthCodec    = Codec[savorystep.HealthFact]{Limit: maxBodyBytes}
	inFlightCodec  = Codec[savorystep.InFlightFact]{Limit: maxBodyBytes}
	statusCodec    = Codec[savorystep.StatusFact]{Limit: maxBodyBytes}
	revisionCodec  = Codec[savorystep.RevisionFact]{Limit: maxBodyBytes}
	endedCodec     = Codec[savorystep.EndedFact]{Limit: maxBodyBytes}
	suspicionCodec = Codec[suspicionFact]{Limit: maxBodyBytes}
)

// newStore returns a store without facts.
func newStore(self savorystep.InstanceID, peerTimeout time.Duration) *store {
	s := &store{
		self:        self,
		peerTimeout: peerTimeout,
		facts:       make(map[savorystep.FactKind]map[factKey]*entry),
		members:     make(map[savorystep.InstanceID]*member),
		suspicions:  make(map[savorystep.InstanceID]*suspicion),
		tombstones:  make(map[savorystep.InstanceID]tombstone),
		reported:    make(map[savorystep.InstanceID]reportedRevision),
	}
	for i := range s.buckets {
		s.buckets[i] = make(map[factKey]*entry)
	}
	return s
}

// addLocal adds a fact of this instance with the next sequence. It returns nil
// if the subject or body is too large.
func (s *store) addLocal(now time.Time, kind savorystep.FactKind, subject string, body []byte) *entry {
	if len(subject) > maxNameBytes || len(body) > maxBodyBytes {
		return nil
	}
	s.lastSequence++
	fact := savorystep.Fact{Instance: s.self, Sequence: s.lastSequence, Kind: kind, Subject: subject, Body: body}
	return s.merge(now, fact, now)
}

// merge adds a fact that was published at the given time. It returns the new
// entry, or nil if the fact is not newer than the stored one, has expired, is
// invalid, or comes from a removed instance.
func (s *store) merge(now time.Time, fact savorystep.Fact, publishedAt time.Time) *entry {
	key := factKey{kind: fact.Kind, instance: fact.Instance, subject: fact.Subject}
	old := s.facts[fact.Kind][key]
	if old != nil && old.sequence >= fact.Sequence {
		return nil
	}
	if maxAge := maxFactAge(fact.Kind); maxAge > 0 && now.Sub(publishedAt) >= maxAge {
		return nil
	}
	if !s.admit(now, fact, old) {
		return nil
	}
	e := &entry{key: key, sequence: fact.Sequence, body: fact.Body, publishedAt: publishedAt, receivedAt: now, isNeutral: isNeutral(fact)}
	if old != nil {
		e.key, e.hash = old.key, old.hash
		s.remove(old)
	} else {
		e.hash = key.hash()
	}
	s.insert(e)
	return e
}

// admit reports whether a fact may be stored. Admitted statuses and suspicions
// take effect on the membership.
func (s *store) admit(now time.Time, fact savorystep.Fact, old *entry) bool {
	stone, hasTombstone := s.tombstones[fact.Instance]
	switch fact.Kind {
	case savorystep.FactStatus:
		if hasTombstone && fact.Sequence <= stone.sequence {
			return false
		}
		return s.admitStatus(now, fact)
	case factSuspicion:
		// A suspicion of this instance counts even if it comes from an instance
		// that was removed here. Otherwise the two sides of a healed partition
		// could not refute each other's suspicions.
		return (!hasTombstone || fact.Subject == string(s.self)) && s.admitSuspicion(now, fact)
	case savorystep.FactRevision:
		// Revisions are exchanged as revision vectors.
		return false
	case savorystep.FactUnknown:
		return !hasTombstone && (old != nil || s.evictOldest(fact, s.unknownQuota()))
	default:
		return !hasTombstone && (old != nil || s.evictOldest(fact, maxSubjectsPerKind))
	}
}

// admitStatus updates the member that published a status. It returns false if
// the status is invalid.
func (s *store) admitStatus(now time.Time, fact savorystep.Fact) bool {
	status, err := statusCodec.Decode(fact.Body)
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
	s.membershipVersion++
	m.status, m.sequence, m.receivedAt = status, fact.Sequence, now
	s.revisions.raise(m, status.Revision)
	if suspected := s.suspicions[fact.Instance]; suspected != nil && suspected.sequence < fact.Sequence {
		s.clearSuspicion(fact.Instance)
	}
	return true
}

// removeEnded removes an instance that the platform lists as ended. The
// platform never lists a running instance as ended, so no status may add it
// again.
func (s *store) removeEnded(now time.Time, instance savorystep.Instance) {
	if stone, hasTombstone := s.tombstones[instance.ID]; instance.ID == s.self || (hasTombstone && stone.sequence == endedSequence) {
		return
	}
	s.removeInstance(instance.ID)
	s.clearSuspicion(instance.ID)
	delete(s.reported, instance.ID)
	s.addTombstone(instance.ID, tombstone{instance: instance, sequence: endedSequence, expiresAt: now.Add(tombstoneRetention)})
}

// addTombstone adds a tombstone. If there are maxTombstones already, it drops
// an arbitrary one.
func (s *store) addTombstone(id savorystep.InstanceID, stone tombstone) {
	if len(s.tombstones) >= maxTombstones {
		for other := range s.tombstones {
			delete(s.tombstones, other)
			break
		}
	}
	s.tombstones[id] = stone
}

// removeInstance removes an instance from the membership, with all its facts.
func (s *store) removeInstance(id savorystep.InstanceID) {
	for _, facts := range s.facts {
		for key, e := range facts {
			if key.instance == id {
				s.remove(e)
			}
		}
	}
	if m := s.members[id]; m != nil {
		s.revisions.remove(id, m)
		delete(s.members, id)
		s.membershipVersion++
	}
}

// expire removes expired facts and tombstones, and the members that have been
// lost for longer than lostRetention.
func (s *store) expire(now time.Time) {
	for id, suspected := range s.suspicions {
		m := s.members[id]
		if m != nil && s.isLost(now, id) && now.Sub(suspected.startedAt) >= refutationTimeout(len(s.members))+lostRetention {
			s.addTombstone(id, tombstone{instance: m.status.Instance, sequence: m.sequence, expiresAt: now.Add(tombstoneRetention)})
			s.removeInstance(id)
		}
	}
	for _, facts := range s.facts {
		for _, e := range facts {
			if s.isExpired(now, e) {
				s.remove(e)
			}
		}
	}
	for id, report := range s.reported {
		if s.isReportExpired(now, report) {
			delete(s.reported, id)
		}
	}
	for id, stone := range s.tombstones {
		if !now.Before(stone.expiresAt) {
			delete(s.tombstones, id)
			s.clearSuspicion(id)
		}
	}
}

// isExpired reports whether a fact has exceeded its maximum age, has the same
// effect as no fact, or comes from an instance that is not a member.
func (s *store) isExpired(now time.Time, e *entry) bool {
	if e.isNeutral && now.Sub(e.publishedAt) >= neutralRetention {
		return true
	}
	if maxAge := maxFactAge(e.key.kind); maxAge > 0 && now.Sub(e.publishedAt) >= maxAge {
		return true
	}
	return s.members[e.key.instance] == nil && e.key.kind != factSuspicion && now.Sub(e.receivedAt) >= lostRetention
}

// unknownQuota returns how many counts of unknown names are kept per instance.
func (s *store) unknownQuota() int {
	return min(maxUnknownNamesPerInstance, max(1, maxUnknownNames/max(1, len(s.members))))
}

// evictOldest makes room for a fact if its instance has quota facts of the same
// kind: it removes the one with the least sequence. Keeping the greatest
// sequences gives the same result for any order of arrival. It returns false if
// the new fact itself has the least sequence.
func (s *store) evictOldest(fact savorystep.Fact, quota int) bool {
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

// insert adds an entry to the facts, its bucket and the digest.
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

// remove removes an entry if it is still stored.
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

// get returns the entry of a key, nil if there is none.
func (s *store) get(key factKey) *entry {
	return s.facts[key.kind][key]
}
