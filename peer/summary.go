package peer

import "savorystep"

// A summary lists the facts of some buckets, so that two instances can find out
// which facts the other lacks.
type summary struct {
	Buckets []uint8        `cbor:"1,keyasint"`
	Entries []summaryEntry `cbor:"2,keyasint,omitempty"`
	// IsReply is true if the receiver must not answer with a summary of its
	// own.
	IsReply bool `cbor:"3,keyasint,omitempty"`
}

// A summaryEntry identifies one fact of a summary.
type summaryEntry struct {
	_ struct{} `cbor:",toarray"`
	// KeyHash is the low half of the hash of the fact's instance, kind and
	// subject.
	KeyHash  uint32
	Sequence uint64
}

func (s *summary) validate() error {
	for _, bucket := range s.Buckets {
		if bucket >= bucketCount {
			return savorystep.NewError(savorystep.KindBadRequest, "summary has bucket %d, want less than %d", bucket, bucketCount)
		}
	}
	return nil
}
