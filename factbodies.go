package savorystep

// A HealthFact is the health of an endpoint as measured by the requests of one
// instance.
type HealthFact struct {
	// Ejected is true if the instance has ejected the endpoint as an outlier.
	Ejected bool `cbor:"1,keyasint"`
}

// A DrainingFact says that an endpoint drains. Builds that know no body publish an empty
// one.
type DrainingFact struct {
	// StartedAtMillis is the start of the endpoint in Unix milliseconds, zero if it is not
	// known. A restarted endpoint does not drain.
	StartedAtMillis int64 `cbor:"1,keyasint,omitempty"`
}

// An InFlightFact is the number of requests that an instance has in flight to an
// endpoint.
type InFlightFact struct {
	Count Slots `cbor:"1,keyasint"`
}

// A RevisionFact is the configuration revision in force at an instance.
type RevisionFact struct {
	Revision Revision `cbor:"1,keyasint"`
}

// A StatusFact is the status of an instance. It also serves as its heartbeat.
type StatusFact struct {
	Instance Instance `cbor:"1,keyasint"`
	Ready    bool     `cbor:"2,keyasint"`
	// Leaving is true if the instance is shutting down.
	Leaving bool `cbor:"3,keyasint"`
	// LinkSuspect is true if the instance suspects a fault of its own network link.
	LinkSuspect bool     `cbor:"4,keyasint"`
	Revision    Revision `cbor:"5,keyasint"`
	// RequestRate is the recent rate of requests that the instance served, per
	// second.
	RequestRate float64 `cbor:"6,keyasint"`
}

// A CrashFact lists the incarnations of endpoints that failed while they ran requests
// with a given fingerprint, as seen by one instance. Enough of them quarantine the
// fingerprint.
type CrashFact struct {
	Endpoints []EndpointID `cbor:"1,keyasint,omitempty"`
	// Cleared is true if a request with the fingerprint has since been answered,
	// so that the crashes reported by all instances no longer count.
	Cleared bool `cbor:"2,keyasint,omitempty"`
	// Streak is the number of crashes in a row: each ended an attempt that was sent when
	// the crash before it was known. Crashes at the same time, as in the failure of a
	// zone, count once. 0 means that the instance does not tell.
	Streak int `cbor:"3,keyasint,omitempty"`
	// Request describes the request for operators.
	Request string `cbor:"4,keyasint,omitempty"`
	// WasAnswered is true if an endpoint answered the request in the minutes before the
	// crashes.
	WasAnswered bool `cbor:"5,keyasint,omitempty"`
	// Probes is the number of probes of the request by the instance, see CrashLog.
	Probes int `cbor:"6,keyasint,omitempty"`
}

// An UnknownFact is the number of requests of callers for an unknown name.
type UnknownFact struct {
	Count uint64 `cbor:"1,keyasint"`
}

// A RateLimitFact is what an endpoint states about its rate limit, as one instance
// got it.
type RateLimitFact struct {
	// StartedAtMillis is the start of the endpoint in Unix milliseconds. A limit does
	// not outlast a restart.
	StartedAtMillis int64 `cbor:"1,keyasint"`
	// IsLimited is false if the endpoint states no limit any more.
	IsLimited bool `cbor:"2,keyasint,omitempty"`
	// Rate is the limit for all instances together.
	Rate RequestsPerSecond `cbor:"3,keyasint,omitempty"`
}

// A LeavingFact says that an endpoint has told an instance in a response that it
// leaves.
type LeavingFact struct {
	// StartedAtMillis is the start of the endpoint in Unix milliseconds. A restarted
	// endpoint is not leaving.
	StartedAtMillis int64 `cbor:"1,keyasint"`
}

// An EndedFact says that an instance found that nothing listens at the address of an
// endpoint any more, or that the endpoint is silent. It may start again under its id.
type EndedFact struct {
	// StartedAtMillis is the start of the incarnation in Unix milliseconds, as it is
	// listed.
	StartedAtMillis int64 `cbor:"1,keyasint"`
	// Number counts the reports of the instance, so that a repeated one is sent again.
	Number uint64 `cbor:"2,keyasint"`
	// IsRunning is true if an endpoint that was silent runs on.
	IsRunning bool `cbor:"3,keyasint,omitempty"`
}
