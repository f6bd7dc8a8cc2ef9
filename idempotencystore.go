package savorystep

import "context"

// An IdempotencyStore ensures that a request with an idempotency key runs at most
// once over all instances.
type IdempotencyStore interface {
	// Begin claims a key. The returned attempt either holds the claim and may run
	// the request, or has the stored response of an earlier attempt. Error kinds:
	// KindInProgress, KindKeyConflict, KindOutcomeUnknown, KindPlatformDown.
	Begin(ctx context.Context, service Service, key IdempotencyKey, fingerprint Fingerprint) (KeyedAttempt, error)
}

// A KeyedAttempt is an attempt to run a request with an idempotency key.
type KeyedAttempt interface {
	// StoredResponse returns the response of an earlier attempt, or nil if this
	// attempt may run the request.
	StoredResponse() *StoredResponse
	// Complete stores the response. After an error the response may or may not be
	// stored; the request never runs again in either case.
	Complete(ctx context.Context, response StoredResponse) error
	// Release gives up the claim, so that another attempt may run the request. It
	// may be called only if no byte of the request was sent or the upstream
	// reported that it did not run the request.
	Release(ctx context.Context) error
}
