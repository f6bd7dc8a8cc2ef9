package savorystep

// A Fact is a statement of one instance about one subject. Of two facts of the
// same instance, kind and subject the one with the greater sequence holds.
type Fact struct {
	Instance InstanceID `cbor:"1,keyasint"`
	Sequence uint64     `cbor:"2,keyasint"`
	Kind     FactKind   `cbor:"3,keyasint"`
	Subject  string     `cbor:"4,keyasint,omitempty"`
	// Body is the CBOR form of the kind's body type.
	Body []byte `cbor:"5,keyasint,omitempty"`
}
