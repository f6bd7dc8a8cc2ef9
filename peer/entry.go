package peer

import (
	"encoding/binary"
	"time"

	"github.com/zeebo/xxh3"

	"savorystep"
)

// A factKey identifies a fact. The store keeps the fact with the greatest
// sequence of each key.
type factKey struct {
	kind     savorystep.FactKind
	instance savorystep.InstanceID
	subject  string
}

// hash returns the hash of the key for digests and summaries.
func (k factKey) hash() uint64 {
	return xxh3.HashString(string(k.instance)+"\x00"+k.subject) + uint64(k.kind)*0x9e3779b97f4a7c15
}

// An entry is a stored fact.
type entry struct {
	key      factKey
	sequence uint64
	body     []byte
	hash     uint64
	// publishedAt is when the fact was published, estimated from its age on
	// arrival. The estimate exceeds the true time at most by the transmission
	// time.
	publishedAt time.Time
	receivedAt  time.Time
	// isNeutral is true if the fact has the same effect as no fact.
	isNeutral bool
}

// isNeutral reports whether a scoped fact has the same effect as no fact.
func isNeutral(fact savorystep.Fact) bool {
	switch fact.Kind {
	case savorystep.FactInFlight:
		body, err := inFlightCodec.Decode(fact.Body)
		return err != nil || body.Count == 0
	case savorystep.FactHealth:
		body, err := healthCodec.Decode(fact.Body)
		return err != nil || !body.Ejected
	default:
		return false
	}
}

// checksum returns a checksum of the fact's key and sequence for digests.
func (e *entry) checksum() uint32 {
	var buffer [16]byte
	binary.LittleEndian.PutUint64(buffer[:], e.hash)
	binary.LittleEndian.PutUint64(buffer[8:], e.sequence)
	return uint32(xxh3.Hash(buffer[:]))
}

func (e *entry) fact() savorystep.Fact {
	return savorystep.Fact{
		Instance: e.key.instance,
		Sequence: e.sequence,
		Kind:     e.key.kind,
		Subject:  e.key.subject,
		Body:     e.body,
	}
}

// ageSeconds returns the age of the fact, rounded up. Rounding up makes the age
// grow on each hop, so that a fact that some instances have already dropped
// does not circulate forever.
func (e *entry) ageSeconds(now time.Time) uint32 {
	return uint32((now.Sub(e.publishedAt) + time.Second - 1) / time.Second)
}

// bucketOf returns the bucket of an instance.
func bucketOf(id savorystep.InstanceID) uint8 {
	return uint8(xxh3.HashString(string(id)) % bucketCount)
}
