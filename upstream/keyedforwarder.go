package upstream

import (
	"bytes"
	"context"
	"io"
	"time"

	"savorystep"
)

var _ savorystep.Forwarder = &KeyedForwarder{}

// A KeyedForwarderConfig configures a KeyedForwarder. Zero values select the
// defaults given with the fields.
type KeyedForwarderConfig struct {
	Store savorystep.IdempotencyStore
	// Clock defaults to savorystep.SystemClock.
	Clock savorystep.Clock
	// MaxResponseBytes bounds the bytes of a stored response; 4 MiB by default.
	// A longer response reaches the waiting caller but cannot be returned
	// again.
	MaxResponseBytes int
	// StoreTimeout bounds the time for storing a response or releasing a key;
	// 30 s by default.
	StoreTimeout time.Duration
}

// A KeyedForwarder executes requests with an idempotency key at most once and
// returns the stored response when a request is sent again.
type KeyedForwarder struct {
	next       savorystep.Forwarder
	config     KeyedForwarderConfig
	background taskGroup
	pending    *pendingResponses
}

// NewKeyedForwarder returns a KeyedForwarder around another forwarder.
func NewKeyedForwarder(next savorystep.Forwarder, config KeyedForwarderConfig) *KeyedForwarder {
	if config.Clock == nil {
		config.Clock = savorystep.SystemClock{}
	}
	setDefault(&config.MaxResponseBytes, 4<<20)
	setDefault(&config.StoreTimeout, 30*time.Second)
	return &KeyedForwarder{next: next, config: config, pending: newPendingResponses()}
}

// permissionDeadline returns until when to wait for permission to execute a
// request. It leaves a tenth of the time before the request's deadline, so that
// the caller still receives the error that says that the request was not
// executed.
func permissionDeadline(now, deadline time.Time) time.Time {
	if deadline.IsZero() {
		return deadline
	}
	return deadline.Add(-deadline.Sub(now) / 10)
}

// Wait waits until no request runs in the background.
func (k *KeyedForwarder) Wait() {
	k.background.Wait()
}

// Panics returns the number of requests and of tasks in the background that panicked.
func (k *KeyedForwarder) Panics() int64 {
	return k.background.panics.count.Load()
}

// Forward forwards a request. A request with a key continues when ctx ends, so
// that its response is stored.
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
	k.background.Go(func() {
		// If the request panics, its key remains used.
		result <- k.background.panics.recoverOutcome(request, func() outcome { return k.run(context.WithoutCancel(ctx), callerCtx, request, attempt) })
	})
	if o, ok := awaitOutcome(callerCtx, result); ok {
		return o.unpack()
	}
	k.background.Go(func() {
		if o := <-result; o.response != nil {
			_ = o.response.Body.Close()
		}
	})
	return nil, savorystep.WrapError(savorystep.KindDeadlineExceeded, callerCtx.Err(), "request with an idempotency key continues without its caller")
}

// storedResponse converts a stored response to a Response.
func storedResponse(storedResult *savorystep.StoredResponse) *savorystep.Response {
	return &savorystep.Response{
		Status:     storedResult.Status,
		Header:     storedResult.Header.Clone(),
		Body:       io.NopCloser(bytes.NewReader(storedResult.Body)),
		BodyLength: int64(len(storedResult.Body)),
	}
}

// run executes a request for which permission was given, then stores its
// response or releases its key.
func (k *KeyedForwarder) run(ctx, callerCtx context.Context, request *savorystep.Request, attempt savorystep.KeyedAttempt) outcome {
	if callerCtx.Err() != nil {
		k.release(ctx, request, attempt)
		return outcome{err: savorystep.WrapError(savorystep.KindOverloaded, callerCtx.Err(), "request cancelled or out of time before it was sent")}
	}
	response, err := k.next.Forward(ctx, request)
	if err != nil {
		if executionOf(err) == savorystep.NotExecuted {
			k.release(ctx, request, attempt)
		}
		return outcome{err: err}
	}
	isPassedOn := false
	defer func(body io.Closer) {
		if !isPassedOn {
			_ = body.Close()
		}
	}(response.Body)
	body, err := io.ReadAll(io.LimitReader(response.Body, int64(k.config.MaxResponseBytes)+1))
	if err != nil {
		return outcome{err: savorystep.WrapError(savorystep.KindOutcomeUnknown, err, "response ended early")}
	}
	if len(body) > k.config.MaxResponseBytes {
		rest := response.Body
		response.Body = &prefixedBody{Reader: io.MultiReader(bytes.NewReader(body), rest), Closer: rest}
		log.Warningf("response to request %s exceeds %d bytes and is not stored", request.ID, k.config.MaxResponseBytes)
		isPassedOn = true
		return outcome{response: response}
	}
	// The caller may change the header while the response is being stored.
	storedResult := savorystep.StoredResponse{Status: response.Status, Header: response.Header.Clone(), Body: body}
	k.pending.add(request, &storedResult)
	k.background.Go(func() { k.complete(ctx, request, attempt, storedResult) })
	response.Body = io.NopCloser(bytes.NewReader(body))
	return outcome{response: response}
}

// complete stores a response in the background, which saves the caller a round
// trip to the table. Until it is stored, other instances answer a request with
// the same key with KindInProgress.
func (k *KeyedForwarder) complete(ctx context.Context, request *savorystep.Request, attempt savorystep.KeyedAttempt, storedResult savorystep.StoredResponse) {
	defer k.pending.remove(request)
	ctx, cancel := context.WithTimeout(ctx, k.config.StoreTimeout)
	defer cancel()
	if err := attempt.Complete(ctx, storedResult); err != nil {
		log.Warningf("store response to request %s, outcome unknown: %v", request.ID, err)
	}
}

// release releases the key of a request that was not executed.
func (k *KeyedForwarder) release(ctx context.Context, request *savorystep.Request, attempt savorystep.KeyedAttempt) {
	ctx, cancel := context.WithTimeout(ctx, k.config.StoreTimeout)
	defer cancel()
	if err := attempt.Release(ctx); err != nil {
		log.Warningf("release idempotency key of request %s: %v", request.ID, err)
	}
}

// A prefixedBody reads from one source and closes another.
type prefixedBody struct {
	io.Reader
	io.Closer
}
