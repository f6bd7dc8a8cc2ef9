package savorystep

import (
	"context"
	"time"
)

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

// LastCrash returns the time of the last crash by the clock of now.
func (c RequestCrashes) LastCrash(now time.Time) time.Time {
	return pastTime(now, c.LastCrashMillis)
}

// ProbedAt returns when an instance last claimed to send the request by the clock of now.
func (c RequestCrashes) ProbedAt(now time.Time) time.Time {
	return pastTime(now, c.ProbedAtMillis)
}

// IsExpired reports whether the last crash is at least lifetime ago.
func (c RequestCrashes) IsExpired(now time.Time, lifetime time.Duration) bool {
	return now.Sub(c.LastCrash(now)) >= lifetime
}

// pastTime returns a time in Unix milliseconds, with the monotonic clock of now. A time in
// the future is that of a clock ahead of this one, and counts as now.
func pastTime(now time.Time, millis int64) time.Time {
	return now.Add(-max(0, now.Sub(time.UnixMilli(millis))))
}

// A CrashLog keeps the crashes of endpoints that ran a request beyond the end of all
// instances.
type CrashLog interface {
	// Edit calls edit with the crashes and, if edit returns true, replaces them by those
	// that it returns. It calls edit again if another instance replaced them meanwhile.
	// Errors have kind KindPlatformDown.
	Edit(ctx context.Context, edit func([]RequestCrashes) ([]RequestCrashes, bool)) error
}
