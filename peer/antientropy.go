package peer

import (
	"encoding/binary"
	"math/rand/v2"
)

const (
	// maxDiffering bounds the buckets compared after one digest.
	maxDiffering = 4
	// maxMissing is the number of facts after which no further missing bucket
	// is sent in answer to one digest. A new instance asks several peers, and
	// each shall send another part.
	maxMissing = 16
	// digestSize is the size of a digest in bytes.
	digestSize = 4 * (bucketCount + 1)
	// entrySize is the usual size of a summary's entry in bytes.
	entrySize = 9
)

func summarySize(s *summary) int {
	return len(s.Buckets)*2 + len(s.Entries)*entrySize + 8
}

// digestBytes returns the checksums of the buckets and of the revisions.
func (s *store) digestBytes() []byte {
	data := make([]byte, 0, digestSize)
	for _, sum := range s.digest {
		data = binary.BigEndian.AppendUint32(data, sum)
	}
	return binary.BigEndian.AppendUint32(data, s.revisions.checksum())
}

// sameRevisions reports whether a peer's digest has the same revisions.
func (s *store) sameRevisions(digest []byte) bool {
	return binary.BigEndian.Uint32(digest[4*bucketCount:]) == s.revisions.checksum()
}

// compare returns some buckets in which a peer's digest differs: those for
// which the peer has no facts, and those to compare by summary.
func (s *store) compare(digest []byte) (missing, differing []uint8) {
	count := 0
	start := rand.IntN(bucketCount) //nolint:gosec // The choice needs no secrecy.
	for i := range bucketCount {
		index := (start + i) % bucketCount
		theirs := binary.BigEndian.Uint32(digest[4*index:])
		switch {
		case theirs == s.digest[index]:
		case theirs == 0:
			if count < maxMissing {
				missing = append(missing, uint8(index))
				count += len(s.buckets[index])
			}
		case len(differing) < maxDiffering:
			differing = append(differing, uint8(index))
		}
	}
	return missing, differing
}

// summarise lists the facts in some buckets.
func (s *store) summarise(buckets []uint8, reply bool) *summary {
	result := &summary{Buckets: buckets, Reply: reply}
	for _, bucket := range buckets {
		for _, e := range s.buckets[bucket] {
			result.Entries = append(result.Entries, summaryEntry{Key: uint32(e.hash), Sequence: e.sequence})
		}
	}
	return result
}

// answer compares a peer's summary with this instance's facts. It returns the
// facts that the peer lacks and whether this instance lacks any.
func (s *store) answer(theirs *summary) (keys []factKey, lacking bool) {
	sequences := make(map[uint32]uint64, len(theirs.Entries))
	for _, entry := range theirs.Entries {
		sequences[entry.Key] = entry.Sequence
	}
	matched := 0
	for _, bucket := range theirs.Buckets {
		for key, e := range s.buckets[bucket] {
			sequence, found := sequences[uint32(e.hash)]
			if found {
				matched++
			}
			if !found || sequence < e.sequence {
				keys = append(keys, key)
			}
			lacking = lacking || sequence > e.sequence
		}
	}
	return keys, lacking || matched < len(theirs.Entries)
}
