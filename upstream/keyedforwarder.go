package upstream

import (
	"bytes"
	"context"
	"io"
	"time"

	"savorystep"
)

var _ savorystep.Forwarder = &KeyedForwarder{}

// A KeyedForwarderConfig configures a Keyed. Zero values take the defaults given with
// the fields.
type KeyedForwarderConfig struct {
	Store savorystep.IdempotencyStore
	// Clock is savorystep.SystemClock by default.
	Clock savorystep.Clock
	// MaxResponseBytes bounds the bytes of a stored answer; 4 MiB by default. A longer
	// answer reaches the caller that waits for it but cannot be given again.
	MaxResponseBytes int
	// StoreTimeout bounds the time for storing an answer or releasing a key; 30 s
	// by default.
	StoreTimeout time.Duration
}

// A KeyedForwarder runs requests with an idempotency key at most once and gives the
// stored answer to those that are sent again.
type KeyedForwarder struct {
	next       savorystep.Forwarder
	config     KeyedForwarderConfig
	background taskGroup
	pending    *pendingResponses
}

// NewKeyedForwarder returns a Keyed in front of another forwarder.
func NewKeyedForwarder(next savorystep.Forwarder, config KeyedForwarderConfig) *KeyedForwarder {
	if config.Clock == nil {
		config.Clock = savorystep.SystemClock{}
	}
	setDefault(&config.MaxResponseBytes, 4<<20)
	setDefault(&config.StoreTimeout, 30*time.Second)
	return &KeyedForwarder{next: next, config: config, pending: newPendingResponses()}
}

// beginDeadline returns until when permission is waited for: a tenth of the time
// before the request's deadline, so that the refusal reaches the caller in time
// to say that the request did not run.
func permissionDeadline(now, deadline time.Time) time.Time {
	if deadline.IsZero() {
		return deadline
	}
	return deadline.Add(-deadline.Sub(now) / 10)
}

// Wait waits until no run goes on in the background.
func (k *KeyedForwarder) Wait() {
	k.background.Wait()
}

// Forward runs a request. A request with a key runs on when ctx ends, so that
// its answer is stored.
func (k *KeyedForwarder) Forward(ctx context.Context, request *savorystep.Request) (*savorystep.Response, error) {
	if request.IdempotencyKey == "" {
		return k.next.Forward(ctx, request)
	}
	storedResult, err := k.pending.find(request)
	if err != nil {
		return nil, err
	}
	if storedResult != nil {
		return storedResponse(storedResult), nil
	}
	callerCtx, cancel := withDeadline(ctx, request.Deadline)
	defer cancel()
	beginCtx, cancelBegin := withDeadline(callerCtx, permissionDeadline(k.config.Clock.Now(), request.Deadline))
	defer cancelBegin()
	attempt, err := k.config.Store.Begin(beginCtx, request.Service, request.IdempotencyKey, request.Fingerprint)
	if err != nil {
		return nil, err
	}
	if storedResult := attempt.StoredResponse(); storedResult != nil {
		return storedResponse(storedResult), nil
	}
	result := make(chan outcome, 1)
	k.background.Go(func() { result <- k.run(context.WithoutCancel(ctx), callerCtx, request, attempt) })
	select {
	case o := <-result:
		return o.unpack()
	case <-callerCtx.Done():
	}
	k.background.Go(func() {
		if o := <-result; o.response != nil {
			_ = o.response.Body.Close()
		}
	})
	return nil, savorystep.WrapError(savorystep.KindDeadlineExceeded, callerCtx.Err(), "the request with a key runs on")
}

// stored returns a stored answer as a response.
func storedResponse(storedResult *savorystep.StoredResponse) *savorystep.Response {
	return &savorystep.Response{
		Status:     storedResult.Status,
		Header:     storedResult.Header.Clone(),
		Body:       io.NopCloser(bytes.NewReader(storedResult.Body)),
		BodyLength: int64(len(storedResult.Body)),
	}
}

// run runs a request for which permission was given and settles its key.
func (k *KeyedForwarder) run(ctx, callerCtx context.Context, request *savorystep.Request, attempt savorystep.KeyedAttempt) outcome {
	if callerCtx.Err() != nil {
		k.release(ctx, request, attempt)
		return outcome{err: savorystep.WrapError(savorystep.KindOverloaded, callerCtx.Err(), "the request ended before it was sent")}
	}
	response, err := k.next.Forward(ctx, request)
	if err != nil {
		if executionOf(err) == savorystep.NotExecuted {
			k.release(ctx, request, attempt)
		}
		return outcome{err: err}
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, int64(k.config.MaxResponseBytes)+1))
	if err != nil {
		_ = response.Body.Close()
		return outcome{err: savorystep.WrapError(savorystep.KindOutcomeUnknown, err, "the answer ended early")}
	}
	if len(body) > k.config.MaxResponseBytes {
		rest := response.Body
		response.Body = &prefixedBody{Reader: io.MultiReader(bytes.NewReader(body), rest), Closer: rest}
		log.Warningf("the answer to request %s is too large to be stored", request.ID)
		return outcome{response: response}
	}
	_ = response.Body.Close()
	// The caller changes the header while the answer is stored.
	storedResult := savorystep.StoredResponse{Status: response.Status, Header: response.Header.Clone(), Body: body}
	k.pending.add(request, &storedResult)
	k.background.Go(func() { k.complete(ctx, request, attempt, storedResult) })
	response.Body = io.NopCloser(bytes.NewReader(body))
	return outcome{response: response}
}

// complete stores an answer. The caller does not wait for it, which saves a
// round trip to the table. Whoever sends the request again through another
// instance before it is stored is told that it is in progress.
func (k *KeyedForwarder) complete(ctx context.Context, request *savorystep.Request, attempt savorystep.KeyedAttempt, storedResult savorystep.StoredResponse) {
	defer k.pending.remove(request)
	ctx, cancel := context.WithTimeout(ctx, k.config.StoreTimeout)
	defer cancel()
	if err := attempt.Complete(ctx, storedResult); err != nil {
		log.Warningf("the answer to request %s may not be stored: %v", request.ID, err)
	}
}

// release gives the permission back for a request that did not run.
func (k *KeyedForwarder) release(ctx context.Context, request *savorystep.Request, attempt savorystep.KeyedAttempt) {
	ctx, cancel := context.WithTimeout(ctx, k.config.StoreTimeout)
	defer cancel()
	if err := attempt.Release(ctx); err != nil {
		log.Warningf("the key of request %s is not released: %v", request.ID, err)
	}
}

// A joinedBody reads from one source and closes another.
type prefixedBody struct {
	io.Reader
	io.Closer
}
