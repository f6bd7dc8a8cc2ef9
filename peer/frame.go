package peer

import (
	"savorystep"
)

// Limits of the protocol, in bytes.
const (
	// maxFrame bounds one frame. The largest frames carry changes.
	maxFrame = 1 << 20
	// maxBody bounds the body of a fact.
	maxBody = 4096
	// maxName bounds an instance ID or subject.
	maxName = 256
	// maxNames bounds the dictionary of a connection's direction. At 16
	// connections it costs about 1 MB.
	maxNames = 512
)

// protocolVersion is sent in hello. Instances of other versions are refused.
const protocolVersion = 1

// A frame is one WebSocket message. Exactly one of its pointers is set.
type frame struct {
	Stamp  savorystep.Timestamp `cbor:"1,keyasint"`
	Hello  *helloFrame          `cbor:"2,keyasint,omitempty"`
	Facts  *factsFrame          `cbor:"3,keyasint,omitempty"`
	Ack    *ackFrame            `cbor:"4,keyasint,omitempty"`
	Want   *wantFrame           `cbor:"5,keyasint,omitempty"`
	Change *changeFrame         `cbor:"6,keyasint,omitempty"`
}

// A helloFrame is the first frame of each side. The dialing side sends it
// first.
type helloFrame struct {
	Version  int                 `cbor:"1,keyasint"`
	Instance savorystep.Instance `cbor:"2,keyasint"`
	// Secret is the SHA-256 hash of the secret that all peers share.
	Secret []byte `cbor:"3,keyasint"`
	// Suspected is the sequence of the receiver's status under which the
	// sender holds it for lost, 0 if it does not. The receiver answers with a
	// status of a greater sequence.
	Suspected uint64 `cbor:"4,keyasint,omitempty"`
}

// A factsFrame carries facts. Every facts frame, an empty one too, serves as a
// heartbeat of the sender.
type factsFrame struct {
	// Names continue the dictionary of this direction of the connection.
	Names []string   `cbor:"1,keyasint,omitempty"`
	Facts []wireFact `cbor:"2,keyasint,omitempty"`
	// Push asks for an ack with this number.
	Push uint64 `cbor:"3,keyasint,omitempty"`
	// Vector holds the instances known to have the newest revision in force.
	Vector *vector `cbor:"4,keyasint,omitempty"`
	// Digest holds one 32-bit checksum per bucket of the sender's facts and
	// one of its revisions.
	Digest []byte `cbor:"5,keyasint,omitempty"`
	// Summary lists the facts in buckets whose checksums differ.
	Summary *summary `cbor:"6,keyasint,omitempty"`
	// Reset empties the dictionary before Names are added.
	Reset bool `cbor:"7,keyasint,omitempty"`
	// Revision is the revision in force at the sender, 0 if it is the same as
	// in the last frame that had one.
	Revision savorystep.Revision `cbor:"8,keyasint,omitempty"`
	// Needed is true if the sender chose this connection, so that the receiver
	// does not end it when it no longer needs it itself.
	Needed bool `cbor:"9,keyasint,omitempty"`
}

// A wireFact is a fact whose strings are numbers of the dictionary, from 1.
type wireFact struct {
	_ struct{} `cbor:",toarray"`
	// Instance 0 is the sender of the frame.
	Instance uint64
	Sequence uint64
	Kind     savorystep.FactKind
	// Subject 0 is the empty subject.
	Subject uint64
	// Age is the time since the fact was stated, in seconds, rounded up.
	Age  uint32
	Body []byte
}

// An ackFrame acknowledges a pushed facts frame.
type ackFrame struct {
	Push uint64 `cbor:"1,keyasint"`
}

// A wantFrame asks for changes of the configuration.
type wantFrame struct {
	Request uint64              `cbor:"1,keyasint"`
	After   savorystep.Revision `cbor:"2,keyasint"`
	Limit   int                 `cbor:"3,keyasint"`
}

// A changeFrame answers a want.
type changeFrame struct {
	Request uint64              `cbor:"1,keyasint"`
	Changes []savorystep.Change `cbor:"2,keyasint"`
}

var frames = Codec[frame]{Limit: maxFrame}

// decodeFrame decodes and checks a frame. The error has kind KindBadRequest or
// KindTooLarge.
func decodeFrame(data []byte) (frame, error) {
	f, err := frames.Decode(data)
	if err != nil {
		return frame{}, err
	}
	set := 0
	for _, present := range []bool{f.Hello != nil, f.Facts != nil, f.Ack != nil, f.Want != nil, f.Change != nil} {
		if present {
			set++
		}
	}
	if set != 1 {
		return frame{}, savorystep.NewError(savorystep.KindBadRequest, "frame has %d parts, want 1", set)
	}
	if f.Facts != nil {
		if err := f.Facts.check(); err != nil {
			return frame{}, err
		}
	}
	if f.Hello != nil {
		if id := f.Hello.Instance.ID; id == "" || len(id) > maxName {
			return frame{}, savorystep.NewError(savorystep.KindBadRequest, "hello has an instance ID of %d bytes", len(id))
		}
	}
	return f, nil
}

// check refuses parts that are out of bounds.
func (f *factsFrame) check() error {
	for _, name := range f.Names {
		if name == "" || len(name) > maxName {
			return savorystep.NewError(savorystep.KindBadRequest, "name has %d bytes", len(name))
		}
	}
	for _, fact := range f.Facts {
		if len(fact.Body) > maxBody {
			return savorystep.NewError(savorystep.KindTooLarge, "fact body has %d bytes, limit %d", len(fact.Body), maxBody)
		}
		if fact.Sequence == 0 || fact.Kind == 0 {
			return savorystep.NewError(savorystep.KindBadRequest, "fact has no sequence or kind")
		}
	}
	if len(f.Digest) != 0 && len(f.Digest) != digestSize {
		return savorystep.NewError(savorystep.KindBadRequest, "digest has %d bytes", len(f.Digest))
	}
	if f.Vector != nil {
		if err := f.Vector.check(); err != nil {
			return err
		}
	}
	if f.Summary != nil {
		return f.Summary.check()
	}
	return nil
}
