package peer

import "savorystep"

// A summary lists the facts in some buckets, so that two instances find which
// facts the other lacks.
type summary struct {
	Buckets []uint8        `cbor:"1,keyasint"`
	Entries []summaryEntry `cbor:"2,keyasint,omitempty"`
	// Reply is true if the receiver shall not answer with a summary of its
	// own.
	Reply bool `cbor:"3,keyasint,omitempty"`
}

// A summaryEntry is one fact of a summary.
type summaryEntry struct {
	_ struct{} `cbor:",toarray"`
	// Key is the low half of the hash of the fact's instance, kind and
	// subject.
	Key      uint32
	Sequence uint64
}

func (s *summary) check() error {
	for _, bucket := range s.Buckets {
		if bucket >= bucketCount {
			return savorystep.NewError(savorystep.KindBadRequest, "summary has bucket %d", bucket)
		}
	}
	return nil
}
