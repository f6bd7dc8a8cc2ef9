package peer

import "savorystep"

// bucketCount is the number of buckets into which instances are divided by
// the hash of their IDs. At 2,500 instances a bucket has about 40.
const bucketCount = 64

// A vector says which instances have a revision, or a greater one, in force.
// It needs one bit per instance where a fact needs about 30 bytes: at 2,500
// instances this is the difference between 1 KB and 75 KB per revision.
type vector struct {
	Revision savorystep.Revision `cbor:"1,keyasint"`
	Buckets  []vectorBucket      `cbor:"2,keyasint"`
}

// A vectorBucket holds the bits of the instances in one bucket in order of
// their hashes.
type vectorBucket struct {
	_     struct{} `cbor:",toarray"`
	Index uint8
	// Check is a checksum of the bucket's instances. The receiver ignores a
	// bucket for which it knows other instances, since the bits would be of
	// the wrong instances.
	Check uint32
	Bits  []byte
}

func (v *vector) check() error {
	if len(v.Buckets) > bucketCount {
		return savorystep.NewError(savorystep.KindBadRequest, "vector has %d buckets", len(v.Buckets))
	}
	for _, bucket := range v.Buckets {
		if bucket.Index >= bucketCount {
			return savorystep.NewError(savorystep.KindBadRequest, "vector has bucket %d", bucket.Index)
		}
	}
	return nil
}

// size returns a bound of the encoded size in bytes. A nil vector has none.
func (v *vector) size() int {
	const header, bucketHeader = 16, 12
	if v == nil {
		return 0
	}
	size := header
	for _, bucket := range v.Buckets {
		size += bucketHeader + len(bucket.Bits)
	}
	return size
}
