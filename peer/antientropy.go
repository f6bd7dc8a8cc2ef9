package peer

import (
	"encoding/binary"
	"math/rand/v2"
)

const (
	// maxDifferingBuckets limits the buckets that are compared by summary after
	// one digest.
	maxDifferingBuckets = 4
	// maxMissingFacts limits the facts sent for buckets that the peer lacks
	// completely: after this number no further bucket is sent for the same
	// digest. A new instance sends its digest to several peers, and each should
	// send a different part.
	maxMissingFacts = 16
	// digestSize is the size of a digest in bytes.
	digestSize = 4 * (bucketCount + 1)
	// summaryEntryBytes is the usual encoded size of a summary entry.
	summaryEntryBytes = 9
)

// summarySize returns the approximate encoded size of a summary in bytes.
func summarySize(s *summary) int {
	return len(s.Buckets)*2 + len(s.Entries)*summaryEntryBytes + 8
}

// digestBytes returns the digest: the checksums of the buckets and of the
// revisions.
func (s *store) digestBytes() []byte {
	data := make([]byte, 0, digestSize)
	for _, sum := range s.digest {
		data = binary.BigEndian.AppendUint32(data, sum)
	}
	return binary.BigEndian.AppendUint32(data, s.revisions.checksum())
}

// hasSameRevisions reports whether a peer's digest has the same checksum of the
// revisions.
func (s *store) hasSameRevisions(digest []byte) bool {
	return binary.BigEndian.Uint32(digest[4*bucketCount:]) == s.revisions.checksum()
}

// compareDigest returns some buckets in which a peer's digest differs: those in
// which the peer has no facts, and those to compare by summary. It starts at a
// random bucket.
func (s *store) compareDigest(digest []byte) (missing, differing []uint8) {
	missingFacts := 0
	start := rand.IntN(bucketCount) //nolint:gosec // The choice needs no secrecy.
	for i := range bucketCount {
		index := (start + i) % bucketCount
		peerChecksum := binary.BigEndian.Uint32(digest[4*index:])
		switch {
		case peerChecksum == s.digest[index]:
		case peerChecksum == 0:
			if missingFacts < maxMissingFacts {
				missing = append(missing, uint8(index))
				missingFacts += len(s.buckets[index])
			}
		case len(differing) < maxDifferingBuckets:
			differing = append(differing, uint8(index))
		}
	}
	return missing, differing
}

// summarise lists the facts of some buckets.
func (s *store) summarise(buckets []uint8, isReply bool) *summary {
	result := &summary{Buckets: buckets, IsReply: isReply}
	for _, bucket := range buckets {
		for _, e := range s.buckets[bucket] {
			result.Entries = append(result.Entries, summaryEntry{KeyHash: uint32(e.hash), Sequence: e.sequence})
		}
	}
	return result
}

// compareSummary compares a peer's summary with the local facts. It returns the
// facts that the peer lacks, and whether this instance lacks any.
func (s *store) compareSummary(peerSummary *summary) (keys []factKey, isLacking bool) {
	sequences := make(map[uint32]uint64, len(peerSummary.Entries))
	for _, entry := range peerSummary.Entries {
		sequences[entry.KeyHash] = entry.Sequence
	}
	matched := 0
	for _, bucket := range peerSummary.Buckets {
		for key, e := range s.buckets[bucket] {
			sequence, found := sequences[uint32(e.hash)]
			if found {
				matched++
			}
			if !found || sequence < e.sequence {
				keys = append(keys, key)
			}
			isLacking = isLacking || sequence > e.sequence
		}
	}
	return keys, isLacking || matched < len(peerSummary.Entries)
}
