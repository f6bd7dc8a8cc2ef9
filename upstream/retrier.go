package upstream

import (
	"context"
	"errors"
	"net/http"
	"time"

	"savorystep"
)

var _ savorystep.Forwarder = &Retrier{}

// A Retrier retries a request that was not executed or is idempotent. It
// retries on another endpoint, on a new connection and within a retry budget.
type Retrier struct {
	next   savorystep.Forwarder
	config RetrierConfig
	budget *retryBudget
}

// NewRetrier returns a retrier around another forwarder, which must be a Pool
// or pass its context on to one.
func NewRetrier(next savorystep.Forwarder, config RetrierConfig) *Retrier {
	config = config.withDefaults()
	return &Retrier{next: next, config: config, budget: newRetryBudget(config.BudgetPercent, config.BudgetBurst)}
}

const (
	// overloadBackoff is the first wait after a retry was rejected because of
	// overload or a cap. It doubles up to maxBackoffDoublings times.
	overloadBackoff     = 50 * time.Millisecond
	maxBackoffDoublings = 3
	// maxOverloadWaits bounds the number of these waits for a request that has not
	// run, 2.3 s in total. A region admits failover again within a second or two.
	maxOverloadWaits = 8
)

// Forward forwards a request. If no attempt gets a response, the error reports
// whether any of the attempts may have executed the request.
func (r *Retrier) Forward(ctx context.Context, request *savorystep.Request) (*savorystep.Response, error) {
	r.budget.deposit()
	attemptRequest := *request
	var body *replayBody
	if attemptRequest.Body != nil && attemptRequest.Body != http.NoBody && attemptRequest.BodyLength != 0 {
		body = newReplayBody(attemptRequest.Body, r.config.MaxReplayBytes)
		attemptRequest.Body = body
	}
	var reported error
	sentAttempts, overloadWaits := 0, 0
	for attempt := 1; ; attempt++ {
		response, err := r.next.Forward(ctx, &attemptRequest)
		if err == nil {
			response.Attempts += sentAttempts
			return response, nil
		}
		reported = mostExecuted(reported, err)
		var failure *AttemptError
		if !errors.As(err, &failure) {
			// A retry that is rejected because of overload or a cap was not executed.
			// Since an earlier attempt has already failed, and may still hold its
			// permits, the request waits and tries again.
			if attempt > 1 && isLackOfRoom(err) && mayAwaitRoom(ctx, reported, overloadWaits) &&
				savorystep.Sleep(ctx, overloadBackoff<<min(overloadWaits, maxBackoffDoublings)) {
				overloadWaits++
				attempt--
				continue
			}
			return nil, reported
		}
		if failure.Sent {
			sentAttempts++
		}
		if attempt >= r.config.MaxAttempts || !r.mayRetry(ctx, request, failure, body) {
			return nil, reported
		}
		r.recordRetry(request, failure)
		ctx = WithAvoidedEndpoints(ctx, failure.Endpoint)
	}
}

// mayAwaitRoom reports whether a request may wait for room again after the given number of
// waits. One that may have run can't be refused as not executed any more, so that it waits
// until its deadline.
func mayAwaitRoom(ctx context.Context, reported error, waits int) bool {
	_, hasDeadline := ctx.Deadline()
	return waits < maxOverloadWaits || hasDeadline && executionOf(reported) != savorystep.NotExecuted
}

// isLackOfRoom reports whether a request was rejected because there is no room for it now.
func isLackOfRoom(err error) bool {
	kind := savorystep.KindOf(err)
	return kind == savorystep.KindOverloaded || kind == savorystep.KindCapReached
}

// mostExecuted returns the error of two attempts that holds for both: once an
// attempt may have executed the request, no later error may report it as not
// executed.
func mostExecuted(first, second error) error {
	if first == nil || executionOf(first) < executionOf(second) {
		return second
	}
	if executionOf(first) > executionOf(second) {
		return first
	}
	return second
}

// executionOf reports whether the request that ended with an error was
// executed.
func executionOf(err error) savorystep.Execution {
	return savorystep.KindOf(err).Info().Execution
}

// mayRetry reports whether a request may be sent again after a failure. If the
// other conditions hold, it withdraws a retry from the budget.
func (r *Retrier) mayRetry(ctx context.Context, request *savorystep.Request, failure *AttemptError, body *replayBody) bool {
	if ctx.Err() != nil || body != nil && (body.limitExceeded() || body.sourceError() != nil) {
		return false
	}
	atMostOnce := request.IdempotencyKey != "" || !request.Idempotent
	if atMostOnce && failure.Execution() != savorystep.NotExecuted {
		return false
	}
	if !r.budget.withdraw() {
		return false
	}
	beforeRetry := optionsFrom(ctx).beforeRetry
	return beforeRetry == nil || beforeRetry(ctx) == nil
}

// recordRetry records the event of a retry.
func (r *Retrier) recordRetry(request *savorystep.Request, failure *AttemptError) {
	if r.config.Recorder == nil {
		return
	}
	r.config.Recorder.Record(savorystep.Event{
		Kind: savorystep.EventRetry, Service: request.Service, Request: request.ID,
		Text: "sent again after " + failure.Error(),
	})
}
