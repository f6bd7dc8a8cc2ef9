package savorystep

// A HealthFact is what an instance found about an endpoint from its own
// requests.
type HealthFact struct {
	Ejected bool `cbor:"1,keyasint"`
}

// An InFlightFact counts the requests that an instance has in flight to an
// endpoint.
type InFlightFact struct {
	Count Slots `cbor:"1,keyasint"`
}

// A RevisionFact is the revision in force at an instance.
type RevisionFact struct {
	Revision Revision `cbor:"1,keyasint"`
}

// A StatusFact is the state of an instance.
type StatusFact struct {
	Instance Instance `cbor:"1,keyasint"`
	Ready    bool     `cbor:"2,keyasint"`
	Leaving  bool     `cbor:"3,keyasint"`
	// LinkSuspect is true if the instance suspects its own link.
	LinkSuspect bool     `cbor:"4,keyasint"`
	Revision    Revision `cbor:"5,keyasint"`
	// RequestRate is the requests per second that it served over the last seconds.
	RequestRate float64 `cbor:"6,keyasint"`
}

// A CrashFact lists the upstreams that an instance saw die while they ran a
// request.
type CrashFact struct {
	Endpoints []EndpointID `cbor:"1,keyasint,omitempty"`
	// Cleared is true if a request with the fingerprint was answered since, so
	// that the strikes of all instances no longer count.
	Cleared bool `cbor:"2,keyasint,omitempty"`
}

// An UnknownFact counts how often callers sent an unknown name.
type UnknownFact struct {
	Count uint64 `cbor:"1,keyasint"`
}
