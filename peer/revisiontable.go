package peer

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"

	"savorystep"
)

// A revisionTable holds the revision in force at each member. Instances
// exchange it as revision vectors.
type revisionTable struct {
	// latest is the greatest revision in force at any member.
	latest savorystep.Revision
	// version counts the changes of the table, so that a link can detect
	// whether it has sent the newest state.
	version     uint64
	buckets     [bucketCount][]orderedMember
	memberCount int
}

// An orderedMember is a member of a bucket. A bucket is ordered by hash.
type orderedMember struct {
	id     savorystep.InstanceID
	member *member
}

// hashID returns the hash that determines the position of an instance in its
// bucket.
func hashID(id savorystep.InstanceID) uint64 {
	return xxh3.HashString(string(id))
}

func (t *revisionTable) add(id savorystep.InstanceID, m *member) {
	bucket := bucketOf(id)
	index, _ := slices.BinarySearchFunc(t.buckets[bucket], m.hash, compareHash)
	t.buckets[bucket] = slices.Insert(t.buckets[bucket], index, orderedMember{id: id, member: m})
	t.memberCount++
	t.version++
}

func (t *revisionTable) remove(id savorystep.InstanceID, m *member) {
	bucket := bucketOf(id)
	index, found := slices.BinarySearchFunc(t.buckets[bucket], m.hash, compareHash)
	if found {
		t.buckets[bucket] = slices.Delete(t.buckets[bucket], index, index+1)
		t.memberCount--
		t.version++
	}
}

func compareHash(o orderedMember, hash uint64) int {
	return cmp.Compare(o.member.hash, hash)
}

// raise records that a member has a revision in force. It returns false if the
// member has this revision or a greater one already.
func (t *revisionTable) raise(m *member, revision savorystep.Revision) bool {
	if revision <= m.revision {
		return false
	}
	m.revision = revision
	t.latest = max(t.latest, revision)
	t.version++
	return true
}

// raiseLatest records that an instance that may be no member has a revision in force.
func (t *revisionTable) raiseLatest(revision savorystep.Revision) {
	if revision > t.latest {
		t.latest = revision
		t.version++
	}
}

// vectorParts is the number of parts in which a revision vector is sent, and
// groupsPerPart the number of groups in one part. With 2,500 members all groups
// together would not fit into the burst of the byte budget.
const (
	vectorParts   = 2
	groupsPerPart = bucketCount / vectorParts
)

// vectorPart returns the members in one part that have the latest revision in
// force, in at most maxGroups groups. It returns nil if there are none.
func (t *revisionTable) vectorPart(part, maxGroups int) *revisionVector {
	groupCount := t.groupCount()
	v := &revisionVector{Revision: t.latest, GroupCount: groupCount}
	for index := part * groupsPerPart; index < min((part+1)*groupsPerPart, int(groupCount)); index++ {
		members := t.groupMembers(uint8(index), groupCount)
		bits := make([]byte, (len(members)+7)/8)
		hasBits := false
		for i, o := range members {
			if o.member.revision >= t.latest {
				bits[i/8] |= 1 << (i % 8)
				hasBits = true
			}
		}
		if hasBits && len(v.Groups) < maxGroups {
			v.Groups = append(v.Groups, vectorGroup{Index: uint8(index), Checksum: membersChecksum(members), Bits: bits})
		}
	}
	if t.latest == 0 || len(v.Groups) == 0 {
		return nil
	}
	return v
}

// announcement returns a vector that announces the latest revision with at most
// one group.
func (t *revisionTable) announcement() *revisionVector {
	for part := range vectorParts {
		if v := t.vectorPart(part, 1); v != nil {
			return v
		}
	}
	return &revisionVector{Revision: t.latest, GroupCount: t.groupCount()}
}

// groupCount returns the number of groups for the current number of members.
// Groups of at least 8 members keep the number of bytes per member low. Within
// this limit more groups are better, since a difference in the members
// invalidates only one group.
func (t *revisionTable) groupCount() uint8 {
	const minMembers = 8
	count := uint8(1)
	for count < bucketCount && t.memberCount >= 2*minMembers*int(count) {
		count *= 2
	}
	return count
}

// groupMembers returns the members of one group.
func (t *revisionTable) groupMembers(index, groupCount uint8) []orderedMember {
	if groupCount == bucketCount {
		return t.buckets[index]
	}
	var members []orderedMember
	for bucket := int(index); bucket < bucketCount; bucket += int(groupCount) {
		members = append(members, t.buckets[bucket]...)
	}
	return members
}

// merge merges a peer's vector and returns the members whose revision has
// increased.
func (t *revisionTable) merge(v *revisionVector) []orderedMember {
	t.raiseLatest(v.Revision)
	var raised []orderedMember
	for _, group := range v.Groups {
		members := t.groupMembers(group.Index, v.GroupCount)
		if membersChecksum(members) != group.Checksum || len(group.Bits) != (len(members)+7)/8 {
			continue
		}
		for i, o := range members {
			if group.Bits[i/8]&(1<<(i%8)) != 0 && t.raise(o.member, v.Revision) {
				raised = append(raised, o)
			}
		}
	}
	return raised
}

// checksum returns a checksum of the members that have the latest revision in
// force. Equal checksums mean that a vector would contain nothing new.
func (t *revisionTable) checksum() uint32 {
	sum := uint64(t.latest) * 0x9e3779b97f4a7c15
	for _, members := range t.buckets {
		for _, o := range members {
			if o.member.revision >= t.latest {
				sum ^= o.member.hash
			}
		}
	}
	return uint32(sum >> 32)
}

// membersChecksum returns the checksum of the members of a group.
func membersChecksum(members []orderedMember) uint32 {
	var sum uint64
	for _, o := range members {
		sum ^= o.member.hash
	}
	return uint32(sum >> 32)
}
