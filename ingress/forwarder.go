package ingress

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"savorystep"
	"savorystep/endpoint"
	"savorystep/http1"
)

// A Transport sends a request to an endpoint. Errors are *http1.ExchangeError.
type Transport interface {
	Exchange(ctx context.Context, endpoint savorystep.Endpoint, request *http1.Request) (*http1.Response, error)
}

const (
	// maxAttempts bounds the endpoints that a request is offered to, those that
	// did not run it included.
	maxAttempts = 4
	// minTimeLeft is the least time left for which a request is still sent.
	minTimeLeft = 20 * time.Millisecond
)

// A Forwarder has requests run by endpoints.
type Forwarder struct {
	config   ProxyConfig
	metrics  *metrics
	attempts *inFlightAttempts
}

// A attemptResult is how one attempt ended.
type attemptResult struct {
	response *http1.Response
	outcome  endpoint.Outcome
	// mayHaveRun is false only if the endpoint certainly did not run the request.
	mayHaveRun bool
}

// forward returns the answer for a request, or a refusal.
func (f *Forwarder) forward(ctx context.Context, t *proxiedRequest) (*http1.Response, *localReply) {
	ctx, cancel := context.WithDeadline(ctx, t.deadline)
	defer cancel()
	for range maxAttempts {
		now := f.config.Clock.Now()
		if t.deadline.Sub(now) < minTimeLeft {
			break
		}
		if f.config.Quarantine.isQuarantined(now, t.fingerprint) {
			t.addStep(fmt.Sprintf("quarantined, %d endpoints died with it", quarantineThreshold))
			break
		}
		if t.deliveries > 0 && !f.config.Router.mayRetry(now, t.service) {
			t.addStep("no repeat left in the budget")
			break
		}
		choice, ok := f.config.Router.choose(now, f.query(now, t))
		f.metrics.countChoice(choice.Reason)
		if !ok {
			t.addStep(f.describeNoEndpoint(now, t.service, choice))
			break
		}
		r := f.attempt(ctx, now, t, choice)
		if done, response := f.recordResult(t, r); done {
			t.setFailedResponse(nil)
			return response, nil
		}
		if ctx.Err() != nil || !t.mayRunAgain() {
			break
		}
	}
	return f.failureResponse(t)
}

// query returns the question for the next endpoint.
func (f *Forwarder) query(now time.Time, t *proxiedRequest) endpoint.Query {
	return endpoint.Query{
		Service: t.service, AffinityKey: t.affinityKey, Local: f.config.Place, TimeLeft: t.deadline.Sub(now),
		PreferLocal: f.config.Router.prefersLocal(t.route, len(t.Body)), AllowedRegions: t.route.Regions, AttemptedEndpoints: t.attemptedEndpoints,
	}
}

// recordResult takes the result of an attempt. It returns true with the response if
// that ends the request.
func (f *Forwarder) recordResult(t *proxiedRequest, r attemptResult) (bool, *http1.Response) {
	if r.outcome != endpoint.OutcomeConnectFailed {
		t.deliveries++
	}
	if r.mayHaveRun {
		t.possibleRuns++
	}
	switch r.outcome {
	case endpoint.OutcomeAnswered:
		f.config.Router.observeResponse(t.route.Name, len(r.response.Body))
		return true, r.response
	case endpoint.OutcomeFailed:
		t.setFailedResponse(r.response)
	default:
		t.isOutcomeUnknown = t.isOutcomeUnknown || r.mayHaveRun
	}
	return false, nil
}

// failureResponse returns the answer for a request that no endpoint answered. Only a
// request that certainly did not run is answered with a promise of that.
func (f *Forwarder) failureResponse(t *proxiedRequest) (*http1.Response, *localReply) {
	switch {
	case t.failedResponse != nil:
		return t.failedResponse, nil
	case !t.isOutcomeUnknown && t.possibleRuns == 0:
		return nil, unavailable("the request did not run, no endpoint has room")
	case !f.config.Clock.Now().Before(t.deadline):
		return nil, &localReply{status: http.StatusGatewayTimeout, reason: "no answer in time"}
	default:
		return nil, &localReply{status: http.StatusBadGateway, reason: "an endpoint broke off the answer"}
	}
}

// attempt sends the request to one endpoint and notes the outcome.
func (f *Forwarder) attempt(ctx context.Context, now time.Time, t *proxiedRequest, choice endpoint.Choice) attemptResult {
	t.attemptedEndpoints = append(t.attemptedEndpoints, choice.Endpoint.ID)
	request := t.Request
	request.Header = t.Header.Clone()
	request.Header[f.config.HeaderNames.Deadline] = []string{strconv.FormatInt(t.deadline.Sub(now).Milliseconds(), 10)}
	request.Header[f.config.HeaderNames.ExpectedEndpoint] = []string{string(choice.Endpoint.ID)}
	response, err := f.exchange(ctx, t, choice.Endpoint, &request)
	end := f.config.Clock.Now()
	r := f.classify(ctx, response, err)
	var load *endpoint.Load
	if response != nil {
		if told, ok := endpoint.ParseLoad(response.Header.Get(f.config.HeaderNames.Load)); ok {
			load = &told
		}
	}
	if response != nil && r.response == nil {
		response.Release()
	}
	f.config.Router.recordOutcome(end, choice, r.outcome, load)
	if isEndpointDown(err) {
		f.attempts.cancelAll(choice.Endpoint.ID)
	}
	f.metrics.countAttempt(r.outcome)
	switch {
	case r.outcome == endpoint.OutcomeAnswered:
		f.config.Quarantine.clear(t.fingerprint)
	case isClosedByEndpoint(err) && refusesConnections(ctx, choice.Endpoint.Address):
		f.config.Quarantine.recordCrash(end, t.fingerprint, choice.Endpoint)
	}
	t.addStep(fmt.Sprintf("%s %s load %.1f expected %v: %s in %v", choice.Endpoint.ID, choice.Reason, choice.Load, choice.ExpectedLatency.Round(time.Millisecond), describeResult(r, err), end.Sub(now).Round(time.Millisecond)))
	return r
}

// exchange sends a request to an endpoint. If it may run again, it ends as soon as
// another request finds the endpoint down.
func (f *Forwarder) exchange(ctx context.Context, t *proxiedRequest, to savorystep.Endpoint, request *http1.Request) (*http1.Response, error) {
	if t.route.Class.Idempotent() {
		var cancel context.CancelCauseFunc
		ctx, cancel = context.WithCancelCause(ctx)
		defer cancel(nil)
		defer f.attempts.add(to.ID, cancel)()
	}
	return f.config.Transport.Exchange(ctx, to, request)
}

// describeNoEndpoint says why no endpoint of a service gets a request. The choice
// has the soonest answer if all would come too late.
func (f *Forwarder) describeNoEndpoint(now time.Time, service savorystep.Service, late endpoint.Choice) string {
	if late.ExpectedLatency > 0 {
		return fmt.Sprintf("no endpoint answers in time, the soonest in %v", late.ExpectedLatency.Round(time.Millisecond))
	}
	var all, usable int
	f.config.Router.WithTable(func(t *endpoint.Table) { all, usable = t.CountEndpoints(now, service) })
	return fmt.Sprintf("no endpoint has room, %d of %d can get requests", usable, all)
}

// describeResult returns the outcome of an attempt for the log.
func describeResult(r attemptResult, err error) string {
	if r.response != nil {
		return strconv.Itoa(r.response.Status)
	}
	if err != nil {
		return err.Error()
	}
	return "not the endpoint's answer"
}

// classify says what the end of an exchange means.
func (f *Forwarder) classify(ctx context.Context, response *http1.Response, err error) attemptResult {
	if err != nil {
		return f.classifyError(ctx, err)
	}
	switch {
	case response.Status == http.StatusMisdirectedRequest:
		return attemptResult{outcome: endpoint.OutcomeMisdirected}
	case response.Header.Get(f.config.HeaderNames.NotExecuted) != "":
		return attemptResult{outcome: endpoint.OutcomeShed}
	case response.Header.Get("Content-Encoding") != "", response.Header.Get(f.config.HeaderNames.Signature) == "":
		return attemptResult{outcome: endpoint.OutcomeBrokenResponse, mayHaveRun: true}
	case response.Status >= http.StatusInternalServerError:
		return attemptResult{response: response, outcome: endpoint.OutcomeFailed, mayHaveRun: true}
	default:
		return attemptResult{response: response, outcome: endpoint.OutcomeAnswered, mayHaveRun: true}
	}
}

// classifyError says what a failed exchange means.
func (f *Forwarder) classifyError(ctx context.Context, err error) attemptResult {
	var failure *http1.ExchangeError
	if !errors.As(err, &failure) {
		return attemptResult{outcome: endpoint.OutcomeBrokenResponse, mayHaveRun: true}
	}
	sent := failure.Stage == http1.StageSent
	switch {
	case failure.BudgetExceeded:
		return attemptResult{outcome: endpoint.OutcomeResponseDropped, mayHaveRun: true}
	case errors.Is(ctx.Err(), context.Canceled):
		return attemptResult{outcome: endpoint.OutcomeCancelled, mayHaveRun: sent}
	case ctx.Err() != nil && sent:
		return attemptResult{outcome: endpoint.OutcomeTimedOut, mayHaveRun: true}
	case failure.Stage == http1.StageDial:
		return attemptResult{outcome: endpoint.OutcomeConnectFailed}
	default:
		return attemptResult{outcome: endpoint.OutcomeBrokenResponse, mayHaveRun: sent}
	}
}

// addStep adds a step to the story of the request.
func (t *proxiedRequest) addStep(text string) {
	t.steps = append(t.steps, text)
}
