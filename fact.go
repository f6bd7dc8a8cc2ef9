package savorystep

// A Fact is a value that an instance publishes to its peers by gossip. It is keyed
// by instance, kind and subject; the fact with the greatest sequence replaces the
// others with the same key.
type Fact struct {
	Instance InstanceID `cbor:"1,keyasint"`
	Sequence uint64     `cbor:"2,keyasint"`
	Kind     FactKind   `cbor:"3,keyasint"`
	Subject  string     `cbor:"4,keyasint,omitempty"`
	// Body is the CBOR encoding of the body type of the kind, see FactKind.
	Body []byte `cbor:"5,keyasint,omitempty"`
}
