package savorystep

import "context"

// IdempotencyStore gives permission to run keyed requests at most once.
type IdempotencyStore interface {
	// Begin asks for permission to run a keyed request. It returns an attempt
	// that may run, or an attempt with a stored answer. Error kinds:
	// KindInProgress, KindKeyConflict, KindOutcomeUnknown, KindPlatformDown.
	Begin(ctx context.Context, service Service, key IdempotencyKey, fingerprint Fingerprint) (KeyedAttempt, error)
}

// An KeyedAttempt is one attempt at running a keyed request.
type KeyedAttempt interface {
	// StoredResponse returns the stored answer, or nil if the attempt may run.
	StoredResponse() *StoredResponse
	// Complete stores the answer. After an error the answer may or may not be
	// stored; the request is never run again.
	Complete(ctx context.Context, answer StoredResponse) error
	// Release gives the permission back. It may be called only if no byte of
	// the request was sent or the upstream said that it did not run it.
	Release(ctx context.Context) error
}
