package upstream

import (
	"context"
	"errors"
	"net/http"
	"time"

	"savorystep"
)

var _ savorystep.Forwarder = &Retrier{}

// A Retrier forwards a request again if it did not run or is idempotent: on
// another endpoint, on a new connection and within a budget.
type Retrier struct {
	next   savorystep.Forwarder
	config RetrierConfig
	budget *retryBudget
}

// NewRetrier returns a retrier in front of another forwarder, which must be a
// Pool or pass its context on to one.
func NewRetrier(next savorystep.Forwarder, config RetrierConfig) *Retrier {
	config = config.withDefaults()
	return &Retrier{next: next, config: config, budget: newRetryBudget(config.BudgetPercent, config.BudgetBurst)}
}

const (
	// roomWait is the first wait of a repeat that was refused for lack of room.
	// It doubles up to maxRoomSteps times.
	overloadBackoff     = 50 * time.Millisecond
	maxBackoffDoublings = 3
	// maxRoomWaits is how often a repeat waits, 2.3 s in all. A region takes
	// failover again within a second or two.
	maxOverloadWaits = 8
)

// Forward runs a request. If no attempt is answered, the error is the one that
// says most about whether the request ran.
func (t *Retrier) Forward(ctx context.Context, request *savorystep.Request) (*savorystep.Response, error) {
	t.budget.deposit()
	copied := *request
	var body *replayBody
	if copied.Body != nil && copied.Body != http.NoBody && copied.BodyLength != 0 {
		body = newReplayBody(copied.Body, t.config.MaxReplayBytes)
		copied.Body = body
	}
	var reported error
	sentAttempts, overloadWaits := 0, 0
	for attempt := 1; ; attempt++ {
		response, err := t.next.Forward(ctx, &copied)
		if err == nil {
			response.Attempts += sentAttempts
			return response, nil
		}
		reported = moreCertainlyExecuted(reported, err)
		var failure *AttemptError
		if !errors.As(err, &failure) {
			// A repeat that is refused for lack of room did not run. Its request
			// has failed once already, so it waits for room.
			if attempt > 1 && savorystep.KindOf(err) == savorystep.KindOverloaded && overloadWaits < maxOverloadWaits &&
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
		if attempt >= t.config.MaxAttempts || !t.mayRetry(ctx, request, failure, body) {
			return nil, reported
		}
		t.recordRetry(request, failure)
		ctx = WithAvoidedEndpoints(ctx, failure.Endpoint)
	}
}

// moreRun returns the error of two attempts that is true for both: once one
// attempt may have run the request, no later one makes it a request that did
// not run.
func moreCertainlyExecuted(first, second error) error {
	if first == nil || executionOf(first) < executionOf(second) {
		return second
	}
	if executionOf(first) > executionOf(second) {
		return first
	}
	return second
}

// ranOf says whether the request that ended in an error ran.
func executionOf(err error) savorystep.Execution {
	return savorystep.KindOf(err).Info().Execution
}

// mayRetry reports whether a request may be sent again after a failure. It
// takes a token of the budget if so.
func (t *Retrier) mayRetry(ctx context.Context, request *savorystep.Request, failure *AttemptError, body *replayBody) bool {
	if ctx.Err() != nil || body != nil && (body.limitExceeded() || body.sourceError() != nil) {
		return false
	}
	atMostOnce := request.IdempotencyKey != "" || !request.Idempotent
	if atMostOnce && failure.Execution() != savorystep.NotExecuted {
		return false
	}
	if !t.budget.withdraw() {
		return false
	}
	beforeRetry := optionsFrom(ctx).beforeRetry
	return beforeRetry == nil || beforeRetry(ctx) == nil
}

// record keeps the event of a retry.
func (t *Retrier) recordRetry(request *savorystep.Request, failure *AttemptError) {
	if t.config.Recorder == nil {
		return
	}
	t.config.Recorder.Record(savorystep.Event{
		Kind: savorystep.EventRetry, Service: request.Service, Request: request.ID,
		Text: "sent again after " + failure.Error(),
	})
}
