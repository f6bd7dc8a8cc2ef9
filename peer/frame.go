package peer

import (
	"savorystep"
)

// Limits of the protocol.
const (
	// maxFrameBytes limits one frame. The largest frames carry changes.
	maxFrameBytes = 1 << 20
	// maxBodyBytes limits the body of a fact.
	maxBodyBytes = 4096
	// maxNameBytes limits an instance ID or a subject.
	maxNameBytes = 256
	// maxDictionaryNames limits the dictionary of each direction of a
	// connection. With 16 connections the dictionaries take about 1 MB.
	maxDictionaryNames = 512
)

// protocolVersion is sent in the hello frame. Instances with another version
// are rejected.
const protocolVersion = 1

// A frame is one WebSocket message. Exactly one of its pointers is set.
type frame struct {
	Timestamp       savorystep.Timestamp  `cbor:"1,keyasint"`
	Hello           *helloFrame           `cbor:"2,keyasint,omitempty"`
	Facts           *factsFrame           `cbor:"3,keyasint,omitempty"`
	Ack             *ackFrame             `cbor:"4,keyasint,omitempty"`
	ChangesRequest  *changesRequestFrame  `cbor:"5,keyasint,omitempty"`
	ChangesResponse *changesResponseFrame `cbor:"6,keyasint,omitempty"`
}

// A helloFrame is the first frame of each side. The dialing side sends it
// first.
type helloFrame struct {
	Version  int                 `cbor:"1,keyasint"`
	Instance savorystep.Instance `cbor:"2,keyasint"`
	// SecretHash is the SHA-256 hash of the secret that all instances share.
	SecretHash []byte `cbor:"3,keyasint"`
	// SuspectedSequence is the sequence of the receiver's status under which
	// the sender suspects or has removed it, 0 if neither is the case. The
	// receiver publishes a status with a greater sequence.
	SuspectedSequence uint64 `cbor:"4,keyasint,omitempty"`
}

// A factsFrame carries facts and the data of anti-entropy. Every factsFrame,
// even an empty one, is a heartbeat of the sender.
type factsFrame struct {
	// Names are appended to the dictionary of this direction of the connection.
	Names []string   `cbor:"1,keyasint,omitempty"`
	Facts []wireFact `cbor:"2,keyasint,omitempty"`
	// AckID, if not 0, requests an acknowledgement with this ID.
	AckID uint64 `cbor:"3,keyasint,omitempty"`
	// Vector holds the instances that have the latest revision in force.
	Vector *revisionVector `cbor:"4,keyasint,omitempty"`
	// Digest holds a 32-bit checksum for each bucket of the sender's facts and
	// one for its revisions.
	Digest []byte `cbor:"5,keyasint,omitempty"`
	// Summary lists the facts of buckets whose checksums differ.
	Summary *summary `cbor:"6,keyasint,omitempty"`
	// Reset clears the dictionary before Names are appended.
	Reset bool `cbor:"7,keyasint,omitempty"`
	// Revision is the revision in force at the sender, 0 if it is unchanged
	// since the last frame that contained one.
	Revision savorystep.Revision `cbor:"8,keyasint,omitempty"`
	// Needed is true if the sender needs this connection. The receiver then
	// keeps it open even if it does not need it itself.
	Needed bool `cbor:"9,keyasint,omitempty"`
}

// A wireFact is a fact whose names are replaced by their indexes in the
// dictionary, counted from 1.
type wireFact struct {
	_ struct{} `cbor:",toarray"`
	// Instance is 0 if the fact was published by the sender of the frame.
	Instance uint64
	Sequence uint64
	Kind     savorystep.FactKind
	// Subject is 0 if the subject is empty.
	Subject uint64
	// AgeSeconds is the time since the fact was published, rounded up.
	AgeSeconds uint32
	Body       []byte
}

// An ackFrame acknowledges a factsFrame with an AckID.
type ackFrame struct {
	AckID uint64 `cbor:"1,keyasint"`
}

// A changesRequestFrame requests configuration changes.
type changesRequestFrame struct {
	RequestID uint64              `cbor:"1,keyasint"`
	After     savorystep.Revision `cbor:"2,keyasint"`
	Limit     int                 `cbor:"3,keyasint"`
}

// A changesResponseFrame answers a changesRequestFrame.
type changesResponseFrame struct {
	RequestID uint64              `cbor:"1,keyasint"`
	Changes   []savorystep.Change `cbor:"2,keyasint"`
}

var frameCodec = Codec[frame]{Limit: maxFrameBytes}

// decodeFrame decodes and validates a frame. The error has kind KindBadRequest
// or KindTooLarge.
func decodeFrame(data []byte) (frame, error) {
	f, err := frameCodec.Decode(data)
	if err != nil {
		return frame{}, err
	}
	parts := 0
	for _, isSet := range []bool{f.Hello != nil, f.Facts != nil, f.Ack != nil, f.ChangesRequest != nil, f.ChangesResponse != nil} {
		if isSet {
			parts++
		}
	}
	if parts != 1 {
		return frame{}, savorystep.NewError(savorystep.KindBadRequest, "frame has %d parts, want 1", parts)
	}
	if f.Facts != nil {
		if err := f.Facts.validate(); err != nil {
			return frame{}, err
		}
	}
	if f.Hello != nil {
		if id := f.Hello.Instance.ID; id == "" || len(id) > maxNameBytes {
			return frame{}, savorystep.NewError(savorystep.KindBadRequest, "hello frame has an instance ID of %d bytes, want 1 to %d", len(id), maxNameBytes)
		}
	}
	return f, nil
}

// validate checks that all parts are within their limits.
func (f *factsFrame) validate() error {
	for _, name := range f.Names {
		if name == "" || len(name) > maxNameBytes {
			return savorystep.NewError(savorystep.KindBadRequest, "dictionary name has %d bytes, want 1 to %d", len(name), maxNameBytes)
		}
	}
	for _, fact := range f.Facts {
		if len(fact.Body) > maxBodyBytes {
			return savorystep.NewError(savorystep.KindTooLarge, "fact body has %d bytes, limit %d", len(fact.Body), maxBodyBytes)
		}
		if fact.Sequence == 0 || fact.Kind == 0 {
			return savorystep.NewError(savorystep.KindBadRequest, "fact has sequence %d and kind %d, want both above 0", fact.Sequence, fact.Kind)
		}
	}
	if len(f.Digest) != 0 && len(f.Digest) != digestSize {
		return savorystep.NewError(savorystep.KindBadRequest, "digest has %d bytes, want %d", len(f.Digest), digestSize)
	}
	if f.Vector != nil {
		if err := f.Vector.validate(); err != nil {
			return err
		}
	}
	if f.Summary != nil {
		return f.Summary.validate()
	}
	return nil
}
