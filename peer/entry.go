package peer

import (
	"encoding/binary"
	"time"

	"github.com/zeebo/xxh3"

	"savorystep"
)

// A factKey names a fact. The newest sequence per key holds.
type factKey struct {
	kind     savorystep.FactKind
	instance savorystep.InstanceID
	subject  string
}

// hash returns the hash used in digests and summaries.
func (k factKey) hash() uint64 {
	return xxh3.HashString(string(k.instance)+"\x00"+k.subject) + uint64(k.kind)*0x9e3779b97f4a7c15
}

// An entry is a fact in the store.
type entry struct {
	key      factKey
	sequence uint64
	body     []byte
	hash     uint64
	// born is when the fact was stated, as far as this instance can tell. It
	// is never later than the true time by more than the time on the way.
	born  time.Time
	heard time.Time
	// idle is true if the fact says the same as none.
	idle bool
}

// isIdle reports whether a scoped fact says the same as no fact.
func isIdle(fact savorystep.Fact) bool {
	switch fact.Kind {
	case savorystep.FactInFlight:
		body, err := inFlightFacts.Decode(fact.Body)
		return err != nil || body.Count == 0
	case savorystep.FactHealth:
		body, err := healthFacts.Decode(fact.Body)
		return err != nil || !body.Ejected
	default:
		return false
	}
}

// checksum identifies the fact and its sequence in a digest.
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

// age returns the age of the fact in seconds, rounded up. Rounding up makes
// the age grow on each hop, so that a fact that some instances have dropped
// does not circulate for ever.
func (e *entry) age(now time.Time) uint32 {
	return uint32((now.Sub(e.born) + time.Second - 1) / time.Second)
}

// bucketOf returns the bucket of an instance.
func bucketOf(id savorystep.InstanceID) uint8 {
	return uint8(xxh3.HashString(string(id)) % bucketCount)
}
