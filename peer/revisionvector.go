package peer

import "savorystep"

// bucketCount is the number of buckets into which instances are divided by the
// hash of their IDs. With 2,500 instances a bucket has about 40.
const bucketCount = 64

// A revisionVector lists the instances that have a revision, or a greater one,
// in force. It takes one bit per instance where a fact takes about 30 bytes:
// with 2,500 instances this makes 1 KB instead of 75 KB per revision.
type revisionVector struct {
	Revision savorystep.Revision `cbor:"1,keyasint"`
	// GroupCount is the number of groups into which the instances are divided,
	// a power of two up to bucketCount.
	GroupCount uint8         `cbor:"2,keyasint"`
	Groups     []vectorGroup `cbor:"3,keyasint,omitempty"`
}

// A vectorGroup has one bit for each instance of a group, ordered by bucket and
// by hash of the ID.
type vectorGroup struct {
	_     struct{} `cbor:",toarray"`
	Index uint8
	// Checksum is a checksum of the group's instances. The receiver ignores a
	// group in which it has other instances, since the bits would be assigned
	// to the wrong ones.
	Checksum uint32
	Bits     []byte
}

func (v *revisionVector) validate() error {
	if v.GroupCount == 0 || bucketCount%v.GroupCount != 0 {
		return savorystep.NewError(savorystep.KindBadRequest, "revision vector has %d groups, want a divisor of %d", v.GroupCount, bucketCount)
	}
	if len(v.Groups) > bucketCount {
		return savorystep.NewError(savorystep.KindBadRequest, "revision vector has the bits of %d groups, limit %d", len(v.Groups), bucketCount)
	}
	for _, group := range v.Groups {
		if group.Index >= v.GroupCount {
			return savorystep.NewError(savorystep.KindBadRequest, "revision vector has group index %d, want less than %d", group.Index, v.GroupCount)
		}
	}
	return nil
}

// sizeBound returns an upper bound of the encoded size in bytes, 0 for a nil
// vector.
func (v *revisionVector) sizeBound() int {
	const header, groupHeader = 16, 12
	if v == nil {
		return 0
	}
	size := header
	for _, group := range v.Groups {
		size += groupHeader + len(group.Bits)
	}
	return size
}
