package savorystep

import "context"

// RequestCrashes are the crashes of endpoints that ran a request, as a CrashLog keeps
// them.
type RequestCrashes struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	// Streak is the number of crashes in a row, see CrashFact.
	Streak int `cbor:"2,keyasint"`
	// LastCrashMillis is the time of the last crash in Unix milliseconds.
	LastCrashMillis int64 `cbor:"3,keyasint"`
	// Request describes the request for operators.
	Request string `cbor:"4,keyasint,omitempty"`
	// WasAnswered is true if an endpoint answered the request before the crashes.
	WasAnswered bool `cbor:"5,keyasint,omitempty"`
	// ProbedAtMillis is when an instance last claimed to send the request although it is
	// quarantined, in Unix milliseconds. The claim keeps the others from sending it.
	ProbedAtMillis int64 `cbor:"6,keyasint,omitempty"`
	// Endpoints are the incarnations that crashed last.
	Endpoints []EndpointID `cbor:"7,keyasint,omitempty"`
}

// A CrashLog keeps the crashes of endpoints that ran a request beyond the end of all
// instances.
type CrashLog interface {
	// Edit calls edit with the crashes and, if edit returns true, replaces them by those
	// that it returns. It calls edit again if another instance replaced them meanwhile.
	// Errors have kind KindPlatformDown.
	Edit(ctx context.Context, edit func([]RequestCrashes) ([]RequestCrashes, bool)) error
}
