package ingress

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/time/rate"

	"savorystep"
	"savorystep/endpoint"
	"savorystep/http1"
)

// A Transport sends requests to endpoints.
type Transport interface {
	// Exchange sends a request to an endpoint and returns the complete response,
	// which the caller must release. Errors are *http1.ExchangeError.
	Exchange(ctx context.Context, endpoint savorystep.Endpoint, request *http1.Request) (*http1.Response, error)
}

const (
	// maxAttempts bounds the attempts of a request, including those that
	// certainly did not run it. The limit of the route applies to the others.
	maxAttempts = 4
	// minTimeLeft is the minimum time before the deadline to start an attempt.
	minTimeLeft = 20 * time.Millisecond
)

// A Forwarder forwards requests to endpoints and retries failed attempts.
type Forwarder struct {
	config   ProxyConfig
	metrics  *metrics
	attempts *inFlightAttempts
	drain    *drainState
	// noticeLimiter limits the lines about notices that can't be used as stated.
	noticeLimiter *rate.Limiter
	// retryAfterLimiter limits the lines about endpoints that want no requests.
	retryAfterLimiter *rate.Limiter
}

// noticeLinesPerSecond limits the lines about notices that can't be used, which an
// endpoint may state in each of its responses. A line costs about 20 µs.
const noticeLinesPerSecond = 5

// retryAfterLinesPerSecond limits the lines about endpoints that want no requests, which
// each of the requests in flight there may lead to.
const retryAfterLinesPerSecond = 20

func newForwarder(config ProxyConfig, drain *drainState, m *metrics) Forwarder {
	return Forwarder{
		attempts: newInFlightAttempts(), config: config, drain: drain, metrics: m,
		noticeLimiter:     rate.NewLimiter(noticeLinesPerSecond, noticeLinesPerSecond),
		retryAfterLimiter: rate.NewLimiter(retryAfterLinesPerSecond, retryAfterLinesPerSecond),
	}
}

// An attemptResult is the result of one attempt.
type attemptResult struct {
	// response is nil unless the endpoint's response can be returned to the caller.
	response *http1.Response
	outcome  endpoint.Outcome
	// mayHaveRun is false only if the endpoint certainly did not run the
	// request.
	mayHaveRun bool
}

// forward sends a request to endpoints, one after the other, until one returns a
// response. It returns that response or, if no attempt succeeds, a failure.
func (f *Forwarder) forward(ctx context.Context, pr *proxiedRequest) (*http1.Response, *localReply) {
	ctx, cancel := context.WithDeadline(ctx, pr.deadline)
	defer cancel()
	for range maxAttempts {
		now := f.config.Clock.Now()
		if pr.deadline.Sub(now) < minTimeLeft {
			break
		}
		if !f.drain.canFinish(pr.deadline) {
			pr.addStep("the instance stops before the deadline")
			break
		}
		if http1.IsClosedByCaller(ctx) {
			return f.failureResponseToGoneCaller(pr)
		}
		if !f.passesQuarantine(ctx, now, pr) {
			break
		}
		// The claim of a probe takes a call of the store.
		now = f.config.Clock.Now()
		if pr.deliveries > 0 && !f.config.Router.mayRetry(now, pr.service) {
			pr.addStep("no repeat left in the budget")
			break
		}
		query := f.query(now, pr)
		choice, ok := f.config.Router.choose(now, query)
		f.metrics.countChoice(choice.Reason)
		if !ok {
			pr.addStep(f.describeNoEndpoint(now, query, choice))
			break
		}
		f.metrics.countRegionChoice(&query, choice.Endpoint)
		result := f.attempt(ctx, now, pr, choice)
		if done, response := f.recordResult(pr, result); done {
			pr.setFailedResponse(nil)
			return response, nil
		}
		if ctx.Err() != nil || !pr.mayRunAgain() {
			break
		}
	}
	return f.failureResponse(pr)
}

// passesQuarantine reports whether a request may be forwarded. If it is quarantined but
// may be probed, it is forwarded as the probe if this instance gets the claim.
func (f *Forwarder) passesQuarantine(ctx context.Context, now time.Time, pr *proxiedRequest) bool {
	verdict := f.config.Quarantine.check(now, pr.fingerprint)
	isProbe := pr.isProbe && pr.deliveries == 0
	if verdict.isQuarantined && !isProbe {
		if !verdict.mayProbe || !f.config.Quarantine.claimProbe(ctx, now, pr.fingerprint) {
			pr.addStep(verdict.reason)
			return false
		}
		pr.isProbe = true
	}
	pr.crashStreak = verdict.streak
	return true
}

// query returns the query that selects the endpoint of the next attempt.
func (f *Forwarder) query(now time.Time, pr *proxiedRequest) endpoint.Query {
	return endpoint.Query{
		Service: pr.service, AffinityKey: pr.affinityKey, Local: f.config.Place, TimeLeft: pr.deadline.Sub(now),
		PreferLocal: f.config.Router.prefersLocal(pr.route, len(pr.Body)), AllowedRegions: f.config.Router.homesFor(pr), AttemptedEndpoints: pr.attemptedEndpoints,
	}
}

// recordResult records the result of an attempt. It returns true and the response
// if the request is complete.
func (f *Forwarder) recordResult(pr *proxiedRequest, result attemptResult) (bool, *http1.Response) {
	switch result.outcome {
	case endpoint.OutcomeConnectFailed, endpoint.OutcomeConnectReset, endpoint.OutcomeWithdrawn:
	default:
		pr.deliveries++
	}
	if result.mayHaveRun {
		pr.possibleRuns++
	}
	switch result.outcome {
	case endpoint.OutcomeAnswered:
		f.config.Router.observeResponse(pr.route.Name, len(result.response.Body))
		return true, result.response
	case endpoint.OutcomeFailed:
		pr.setFailedResponse(result.response)
	default:
		pr.isOutcomeUnknown = pr.isOutcomeUnknown || result.mayHaveRun
	}
	return false, nil
}

// failureResponse returns the response to a request for which all attempts
// failed: an endpoint's last failure, or else a local reply. The reply states that
// the request did not run only if that is certain.
func (f *Forwarder) failureResponse(pr *proxiedRequest) (*http1.Response, *localReply) {
	switch {
	case pr.failedResponse != nil:
		return pr.failedResponse, nil
	case !pr.isOutcomeUnknown && pr.possibleRuns == 0 && !f.drain.canFinish(pr.deadline):
		return nil, unavailable(reasonStopping)
	case !pr.isOutcomeUnknown && pr.possibleRuns == 0:
		return nil, f.noRoom(pr)
	case !f.config.Clock.Now().Before(pr.deadline):
		return nil, &localReply{status: http.StatusGatewayTimeout, reason: "no answer in time"}
	default:
		return nil, &localReply{status: http.StatusBadGateway, reason: "an endpoint broke off the answer"}
	}
}

// failureResponseToGoneCaller is failureResponse for a request whose caller has closed its
// connection before the next attempt. It may have closed only its sending side.
func (f *Forwarder) failureResponseToGoneCaller(pr *proxiedRequest) (*http1.Response, *localReply) {
	pr.addStep("the caller left before the attempt")
	if pr.possibleRuns == 0 && pr.failedResponse == nil {
		return nil, unavailable("the request did not run, its caller has left")
	}
	return f.failureResponse(pr)
}

// noRoom returns the reply to a request that did not run because no endpoint has room.
// If all of them want no requests, the caller may come back when the first one does.
func (f *Forwarder) noRoom(pr *proxiedRequest) *localReply {
	now := f.config.Clock.Now()
	if at, ok := f.config.Router.earliestReturn(now, f.query(now, pr)); ok {
		return unavailableFor(at.Sub(now), "the request did not run, all endpoints want no requests for now")
	}
	return unavailable("the request did not run, no endpoint has room")
}

// attempt sends a request to one endpoint and reports the outcome to the router,
// the quarantine and the metrics.
func (f *Forwarder) attempt(ctx context.Context, now time.Time, pr *proxiedRequest, choice endpoint.Choice) attemptResult {
	pr.attemptedEndpoints = append(pr.attemptedEndpoints, choice.Endpoint.ID)
	request := pr.Request
	request.Header = pr.Header.Clone()
	request.Header[f.config.HeaderNames.Deadline] = []string{strconv.FormatInt(pr.deadline.Sub(now).Milliseconds(), 10)}
	request.Header[f.config.HeaderNames.ExpectedEndpoint] = []string{string(choice.Endpoint.ID)}
	request.BeforeSend = func() error { return f.config.Router.recheck(f.config.Clock.Now(), choice) }
	var response *http1.Response
	isRecorded, hasReturned := false, false
	defer func() {
		if !hasReturned {
			f.endPanicked(choice, response, isRecorded)
		}
	}()
	response, err := f.exchange(ctx, pr, choice.Endpoint, &request)
	endedAt := f.config.Clock.Now()
	result := f.classify(ctx, response, err)
	load := f.recordStatements(endedAt, choice, response)
	if response != nil && result.response == nil {
		response.Release()
	}
	isRecorded = true
	f.config.Router.recordOutcome(endedAt, choice, result.outcome, load)
	if cause := endpointDownCause(err); cause != nil {
		f.attempts.cancelAll(choice.Endpoint.IncarnationID(), cause)
	}
	f.metrics.countAttempt(result.outcome, choice.IsRateLimited)
	switch {
	case result.outcome == endpoint.OutcomeAnswered:
		f.config.Quarantine.recordAnswer(endedAt, pr.fingerprint)
		f.config.Endings.recordRunning(endedAt, choice.Endpoint, response.ConnOpenedAt)
	case errors.Is(err, syscall.ECONNREFUSED):
		f.config.Endings.record(endedAt, choice.Endpoint, "a connection was refused")
	case isSilent(ctx, err):
		f.config.Endings.recordSilent(endedAt, choice.Endpoint)
		f.checkWarmup(endedAt, choice.Endpoint)
	case !f.config.Router.isStopping(choice.Endpoint) && crashed(ctx, err, choice.Endpoint.Address):
		f.config.Endings.record(f.config.Clock.Now(), choice.Endpoint, "a request broke off")
		f.config.Quarantine.recordCrash(endedAt, pr, choice.Endpoint)
	case isClosedByEndpoint(err):
		f.checkWarmup(endedAt, choice.Endpoint)
	}
	pr.addStep(fmt.Sprintf("%s: %s in %v", describeChoice(choice), describeResult(result, err), endedAt.Sub(now).Round(time.Millisecond)))
	hasReturned = true
	return result
}

// recordStatements applies what a response, if there is one, says about its endpoint. It
// returns the load that it states, or nil.
func (f *Forwarder) recordStatements(now time.Time, choice endpoint.Choice, response *http1.Response) *endpoint.Load {
	if response == nil {
		return nil
	}
	if statement, ok := f.rateLimitStatement(response); ok {
		f.config.RateLimits.record(now, choice, statement)
	}
	f.recordNotice(now, choice, f.notice(now, choice, response))
	load, ok := endpoint.ParseLoad(response.Header.Get(f.config.HeaderNames.Load))
	if !ok {
		return nil
	}
	return &load
}

// endPanicked ends an attempt that panicked: it releases the response, if there is one, and
// the endpoint's slot unless the outcome was recorded. The panic says nothing about the
// endpoint.
func (f *Forwarder) endPanicked(choice endpoint.Choice, response *http1.Response, isRecorded bool) {
	if response != nil {
		response.Release()
	}
	if !isRecorded {
		f.config.Router.recordOutcome(f.config.Clock.Now(), choice, endpoint.OutcomeCancelled, nil)
	}
}

// checkWarmup lets an endpoint that gave no response be asked for how long it is cold.
func (f *Forwarder) checkWarmup(now time.Time, e savorystep.Endpoint) {
	if f.config.WarmupChecker != nil {
		f.config.WarmupChecker.add(now, e)
	}
}

// rateLimitStatement returns what a response says about the rate limit of its
// endpoint. It returns false if the response may come from another endpoint, if its
// limit is not valid, or if it has none and an intermediary may have made it.
func (f *Forwarder) rateLimitStatement(response *http1.Response) (endpoint.RateLimitStatement, bool) {
	if response.Status == http.StatusMisdirectedRequest {
		return endpoint.RateLimitStatement{}, false
	}
	values := response.Header.Values(f.config.HeaderNames.RateLimit)
	if len(values) == 0 {
		return endpoint.RateLimitStatement{}, response.Header.Get(f.config.HeaderNames.Signature) != ""
	}
	rate, ok := endpoint.ParseRateLimit(values[0])
	return endpoint.RateLimitStatement{IsLimited: true, Rate: rate}, ok
}

// notice returns what a response says about further requests to its endpoint. It is
// empty if the response may come from another endpoint.
func (f *Forwarder) notice(now time.Time, choice endpoint.Choice, response *http1.Response) savorystep.EndpointNotice {
	if response.Status == http.StatusMisdirectedRequest {
		return savorystep.EndpointNotice{}
	}
	notice, err := f.config.Notices.DecodeNotice(response.Status, response.Header)
	if err != nil && f.noticeLimiter.AllowN(now, 1) {
		log.Warningf("endpoint %s, response with status %d: %v", choice.Endpoint.ID, response.Status, err)
	}
	return notice
}

// recordNotice applies what the response to a choice says about further requests. How
// long the endpoint wants none concerns only this instance and is not published.
func (f *Forwarder) recordNotice(now time.Time, choice endpoint.Choice, notice savorystep.EndpointNotice) {
	if notice.IsLeaving {
		f.config.Leavings.record(now, choice)
	}
	if notice.RetryAfter <= 0 {
		return
	}
	until, isChanged := f.config.Router.recordRetryAfter(now, choice, notice.RetryAfter)
	if isChanged && f.retryAfterLimiter.AllowN(now, 1) {
		log.Infof("endpoint %s wants no requests from here for %v according to its response, the last time ends in %v", choice.Endpoint.ID, notice.RetryAfter, until.Sub(now).Round(time.Millisecond))
	}
}

// exchange sends a request to an endpoint. If the request is safe to retry, the
// exchange is cancelled as soon as another request finds the endpoint down.
func (f *Forwarder) exchange(ctx context.Context, pr *proxiedRequest, target savorystep.Endpoint, request *http1.Request) (*http1.Response, error) {
	if pr.route.Class.Idempotent() {
		var cancel context.CancelCauseFunc
		ctx, cancel = context.WithCancelCause(ctx)
		defer cancel(nil)
		defer f.attempts.add(target.IncarnationID(), cancel)()
	}
	return f.config.Transport.Exchange(ctx, target, request)
}

// describeResult returns the status or error of an attempt for the log.
func describeResult(result attemptResult, err error) string {
	if result.response != nil {
		return strconv.Itoa(result.response.Status)
	}
	if err != nil {
		return err.Error()
	}
	return "not the endpoint's answer"
}

// classify returns the result of an exchange. A response without the endpoint's
// signature or with a content encoding counts as broken, because an intermediary
// made or changed it. So does a refusal with a signature, which endpoints give only to
// what they ran: its head ended early, and that of a later response completed it.
func (f *Forwarder) classify(ctx context.Context, response *http1.Response, err error) attemptResult {
	if err != nil {
		return f.classifyError(ctx, err)
	}
	isSigned := response.Header.Get(f.config.HeaderNames.Signature) != ""
	isRefusal := response.Status == http.StatusMisdirectedRequest || response.Header.Get(f.config.HeaderNames.NotExecuted) != ""
	switch {
	case isRefusal && isSigned:
		return attemptResult{outcome: endpoint.OutcomeBrokenResponse, mayHaveRun: true}
	case response.Status == http.StatusMisdirectedRequest:
		return attemptResult{outcome: endpoint.OutcomeMisdirected}
	case isRefusal:
		return attemptResult{outcome: endpoint.OutcomeShed}
	case response.Header.Get("Content-Encoding") != "", !isSigned:
		return attemptResult{outcome: endpoint.OutcomeBrokenResponse, mayHaveRun: true}
	case response.Status >= http.StatusInternalServerError:
		return attemptResult{response: response, outcome: endpoint.OutcomeFailed, mayHaveRun: true}
	default:
		return attemptResult{response: response, outcome: endpoint.OutcomeAnswered, mayHaveRun: true}
	}
}

// classifyError returns the result of an exchange that failed.
func (f *Forwarder) classifyError(ctx context.Context, err error) attemptResult {
	var exchangeErr *http1.ExchangeError
	if !errors.As(err, &exchangeErr) {
		return attemptResult{outcome: endpoint.OutcomeBrokenResponse, mayHaveRun: true}
	}
	isSent := exchangeErr.Stage == http1.StageSent
	var withdrawn *withdrawnError
	switch {
	case errors.As(err, &withdrawn):
		return attemptResult{outcome: endpoint.OutcomeWithdrawn}
	case exchangeErr.BudgetExceeded:
		return attemptResult{outcome: endpoint.OutcomeResponseDropped, mayHaveRun: true}
	case errors.Is(ctx.Err(), context.Canceled):
		return attemptResult{outcome: endpoint.OutcomeCancelled, mayHaveRun: isSent}
	case ctx.Err() != nil && isSent:
		return attemptResult{outcome: endpoint.OutcomeTimedOut, mayHaveRun: true}
	case exchangeErr.Stage == http1.StageDial && errors.Is(err, syscall.ECONNRESET):
		return attemptResult{outcome: endpoint.OutcomeConnectReset}
	case exchangeErr.Stage == http1.StageDial:
		return attemptResult{outcome: endpoint.OutcomeConnectFailed}
	default:
		return attemptResult{outcome: endpoint.OutcomeBrokenResponse, mayHaveRun: isSent}
	}
}

// addStep appends a step to the log line of the request.
func (pr *proxiedRequest) addStep(text string) {
	pr.steps = append(pr.steps, text)
}
