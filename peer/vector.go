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
	// Groups is the number of groups that the instances are divided into, a
	// power of two up to bucketCount.
	Groups  uint8          `cbor:"2,keyasint"`
	Buckets []vectorBucket `cbor:"3,keyasint,omitempty"`
}

// A vectorBucket holds the bits of the instances in one group, in order of
// their buckets and hashes.
type vectorBucket struct {
	_     struct{} `cbor:",toarray"`
	Index uint8
	// Check is a checksum of the group's instances. The receiver ignores a
	// group for which it knows other instances, since the bits would be of
	// the wrong instances.
	Check uint32
	Bits  []byte
}

func (v *vector) check() error {
	if v.Groups == 0 || bucketCount%v.Groups != 0 {
		return savorystep.NewError(savorystep.KindBadRequest, "vector has %d groups", v.Groups)
	}
	if len(v.Buckets) > bucketCount {
		return savorystep.NewError(savorystep.KindBadRequest, "vector has %d buckets", len(v.Buckets))
	}
	for _, bucket := range v.Buckets {
		if bucket.Index >= v.Groups {
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
