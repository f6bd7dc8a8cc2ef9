package peer

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"

	"savorystep"
)

// A revisionTable knows the revision in force at each member. It exchanges
// them as vectors.
type revisionTable struct {
	// top is the greatest revision in force at any member.
	top savorystep.Revision
	// version counts the changes, so that a connection knows whether it has
	// sent the newest state.
	version uint64
	buckets [bucketCount][]orderedMember
	count   int
}

// An orderedMember is a member in a bucket, in order of its hash.
type orderedMember struct {
	id savorystep.InstanceID
	m  *member
}

func hashID(id savorystep.InstanceID) uint64 {
	return xxh3.HashString(string(id))
}

func (t *revisionTable) add(id savorystep.InstanceID, m *member) {
	bucket := bucketOf(id)
	at, _ := slices.BinarySearchFunc(t.buckets[bucket], m.hash, compareHash)
	t.buckets[bucket] = slices.Insert(t.buckets[bucket], at, orderedMember{id: id, m: m})
	t.count++
	t.version++
}

func (t *revisionTable) drop(id savorystep.InstanceID, m *member) {
	bucket := bucketOf(id)
	at, found := slices.BinarySearchFunc(t.buckets[bucket], m.hash, compareHash)
	if found {
		t.buckets[bucket] = slices.Delete(t.buckets[bucket], at, at+1)
		t.count--
		t.version++
	}
}

func compareHash(o orderedMember, hash uint64) int {
	return cmp.Compare(o.m.hash, hash)
}

// raise notes that a member has a revision in force. It returns false if that
// was known. A revision never goes down.
func (t *revisionTable) raise(m *member, revision savorystep.Revision) bool {
	if revision <= m.revision {
		return false
	}
	m.revision = revision
	t.top = max(t.top, revision)
	t.version++
	return true
}

// vectorParts is the number of parts of a vector, and partGroups the groups in
// one part. All groups together would not fit into the burst of the budget at
// 2,500 members.
const (
	vectorParts = 2
	partGroups  = bucketCount / vectorParts
)

// vector returns the members in one part that have the top revision in force,
// in at most limit groups. It is nil if there are none.
func (t *revisionTable) vector(part, limit int) *vector {
	groups := t.groups()
	v := &vector{Revision: t.top, Groups: groups}
	for index := part * partGroups; index < min((part+1)*partGroups, int(groups)); index++ {
		members := t.group(uint8(index), groups)
		bits := make([]byte, (len(members)+7)/8)
		set := false
		for i, o := range members {
			if o.m.revision >= t.top {
				bits[i/8] |= 1 << (i % 8)
				set = true
			}
		}
		if set && len(v.Buckets) < limit {
			v.Buckets = append(v.Buckets, vectorBucket{Index: uint8(index), Check: checkOf(members), Bits: bits})
		}
	}
	if t.top == 0 || len(v.Buckets) == 0 {
		return nil
	}
	return v
}

// announcement returns a vector that tells the top revision with one group at
// most.
func (t *revisionTable) announcement() *vector {
	for part := range vectorParts {
		if v := t.vector(part, 1); v != nil {
			return v
		}
	}
	return &vector{Revision: t.top, Groups: t.groups()}
}

// groups returns the number of groups for the present number of members. A
// group of at least 8 members keeps the bytes per member low, and more groups
// confine the effect of a difference in the members.
func (t *revisionTable) groups() uint8 {
	const least = 8
	groups := uint8(1)
	for groups < bucketCount && t.count >= 2*least*int(groups) {
		groups *= 2
	}
	return groups
}

// group returns the members of one group.
func (t *revisionTable) group(index, groups uint8) []orderedMember {
	if groups == bucketCount {
		return t.buckets[index]
	}
	var members []orderedMember
	for bucket := int(index); bucket < bucketCount; bucket += int(groups) {
		members = append(members, t.buckets[bucket]...)
	}
	return members
}

// merge takes a vector of a peer and returns the members whose revision grew.
func (t *revisionTable) merge(v *vector) []orderedMember {
	if v.Revision > t.top {
		t.top = v.Revision
		t.version++
	}
	var raised []orderedMember
	for _, bucket := range v.Buckets {
		members := t.group(bucket.Index, v.Groups)
		if checkOf(members) != bucket.Check || len(bucket.Bits) != (len(members)+7)/8 {
			continue
		}
		for i, o := range members {
			if bucket.Bits[i/8]&(1<<(i%8)) != 0 && t.raise(o.m, v.Revision) {
				raised = append(raised, o)
			}
		}
	}
	return raised
}

// checksum identifies the members that have the top revision in force. Equal
// checksums mean that a vector would bring nothing new.
func (t *revisionTable) checksum() uint32 {
	sum := uint64(t.top) * 0x9e3779b97f4a7c15
	for _, members := range t.buckets {
		for _, o := range members {
			if o.m.revision >= t.top {
				sum ^= o.m.hash
			}
		}
	}
	return uint32(sum >> 32)
}

// checkOf returns the checksum of the members of a group.
func checkOf(members []orderedMember) uint32 {
	var sum uint64
	for _, o := range members {
		sum ^= o.m.hash
	}
	return uint32(sum >> 32)
}
