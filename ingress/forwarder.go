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
	// maxTries bounds the endpoints that a request is offered to, those that
	// did not run it included.
	maxTries = 4
	// leastTime is the least time left for which a request is still sent.
	leastTime = 20 * time.Millisecond
)

// A Forwarder has requests run by endpoints.
type Forwarder struct {
	config   ProxyConfig
	metrics  *metrics
	attempts *attempts
}

// A result is how one attempt ended.
type result struct {
	response *http1.Response
	outcome  endpoint.Outcome
	// ran is false only if the endpoint certainly did not run the request.
	ran bool
}

// run returns the answer for a request, or a refusal.
func (f *Forwarder) run(ctx context.Context, t *task) (*http1.Response, *refusal) {
	ctx, cancel := context.WithDeadline(ctx, t.deadline)
	defer cancel()
	for range maxTries {
		now := f.config.Clock.Now()
		if t.deadline.Sub(now) < leastTime {
			break
		}
		if f.config.Quarantine.holds(now, t.fingerprint) {
			t.note(fmt.Sprintf("quarantined, %d endpoints died with it", quarantineDeaths))
			break
		}
		if t.arrivals > 0 && !f.config.Router.mayRepeat(now, t.service) {
			t.note("no repeat left in the budget")
			break
		}
		choice, ok := f.config.Router.choose(now, f.query(now, t))
		f.metrics.choice(choice.Reason)
		if !ok {
			t.note(f.describeService(now, t.service, choice))
			break
		}
		r := f.attempt(ctx, now, t, choice)
		if done, response := f.settle(t, r); done {
			t.setFailed(nil)
			return response, nil
		}
		if ctx.Err() != nil || !t.mayRunAgain() {
			break
		}
	}
	return f.giveUp(t)
}

// query returns the question for the next endpoint.
func (f *Forwarder) query(now time.Time, t *task) endpoint.Query {
	return endpoint.Query{
		Service: t.service, AffinityKey: t.key, Local: f.config.Place, TimeLeft: t.deadline.Sub(now),
		PreferLocal: f.config.Router.isNear(t.route, len(t.Body)), AllowedRegions: t.route.Regions, AttemptedEndpoints: t.tried,
	}
}

// settle takes the result of an attempt. It returns true with the response if
// that ends the request.
func (f *Forwarder) settle(t *task, r result) (bool, *http1.Response) {
	if r.outcome != endpoint.OutcomeConnectFailed {
		t.arrivals++
	}
	if r.ran {
		t.runs++
	}
	switch r.outcome {
	case endpoint.OutcomeAnswered:
		f.config.Router.noteAnswer(t.route.Name, len(r.response.Body))
		return true, r.response
	case endpoint.OutcomeFailed:
		t.setFailed(r.response)
	default:
		t.unknown = t.unknown || r.ran
	}
	return false, nil
}

// giveUp returns the answer for a request that no endpoint answered. Only a
// request that certainly did not run is answered with a promise of that.
func (f *Forwarder) giveUp(t *task) (*http1.Response, *refusal) {
	switch {
	case t.failed != nil:
		return t.failed, nil
	case !t.unknown && t.runs == 0:
		return nil, refuse("the request did not run, no endpoint has room")
	case !f.config.Clock.Now().Before(t.deadline):
		return nil, &refusal{status: http.StatusGatewayTimeout, reason: "no answer in time"}
	default:
		return nil, &refusal{status: http.StatusBadGateway, reason: "an endpoint broke off the answer"}
	}
}

// attempt sends the request to one endpoint and notes the outcome.
func (f *Forwarder) attempt(ctx context.Context, now time.Time, t *task, choice endpoint.Choice) result {
	t.tried = append(t.tried, choice.Endpoint.ID)
	request := t.Request
	request.Header = t.Header.Clone()
	request.Header[f.config.HeaderNames.Deadline] = []string{strconv.FormatInt(t.deadline.Sub(now).Milliseconds(), 10)}
	request.Header[f.config.HeaderNames.ExpectedEndpoint] = []string{string(choice.Endpoint.ID)}
	response, err := f.exchange(ctx, t, choice.Endpoint, &request)
	end := f.config.Clock.Now()
	r := f.judge(ctx, response, err)
	var load *endpoint.Load
	if response != nil {
		if told, ok := endpoint.ParseLoad(response.Header.Get(f.config.HeaderNames.Load)); ok {
			load = &told
		}
	}
	if response != nil && r.response == nil {
		response.Release()
	}
	f.config.Router.end(end, choice, r.outcome, load)
	if isDown(err) {
		f.attempts.giveUp(choice.Endpoint.ID)
	}
	f.metrics.attempt(r.outcome)
	switch {
	case r.outcome == endpoint.OutcomeAnswered:
		f.config.Quarantine.answered(t.fingerprint)
	case isClosed(err) && isDead(ctx, choice.Endpoint.Address):
		f.config.Quarantine.died(end, t.fingerprint, choice.Endpoint)
	}
	t.note(fmt.Sprintf("%s %s load %.1f expected %v: %s in %v", choice.Endpoint.ID, choice.Reason, choice.Load, choice.ExpectedLatency.Round(time.Millisecond), describe(r, err), end.Sub(now).Round(time.Millisecond)))
	return r
}

// exchange sends a request to an endpoint. If it may run again, it ends as soon as
// another request finds the endpoint down.
func (f *Forwarder) exchange(ctx context.Context, t *task, to savorystep.Endpoint, request *http1.Request) (*http1.Response, error) {
	if t.route.Class.Idempotent() {
		var cancel context.CancelCauseFunc
		ctx, cancel = context.WithCancelCause(ctx)
		defer cancel(nil)
		defer f.attempts.add(to.ID, cancel)()
	}
	return f.config.Transport.Exchange(ctx, to, request)
}

// describeService says why no endpoint of a service gets a request. The choice
// has the soonest answer if all would come too late.
func (f *Forwarder) describeService(now time.Time, service savorystep.Service, late endpoint.Choice) string {
	if late.ExpectedLatency > 0 {
		return fmt.Sprintf("no endpoint answers in time, the soonest in %v", late.ExpectedLatency.Round(time.Millisecond))
	}
	var all, usable int
	f.config.Router.WithTable(func(t *endpoint.Table) { all, usable = t.CountEndpoints(now, service) })
	return fmt.Sprintf("no endpoint has room, %d of %d can get requests", usable, all)
}

// describe returns the outcome of an attempt for the log.
func describe(r result, err error) string {
	if r.response != nil {
		return strconv.Itoa(r.response.Status)
	}
	if err != nil {
		return err.Error()
	}
	return "not the endpoint's answer"
}

// judge says what the end of an exchange means.
func (f *Forwarder) judge(ctx context.Context, response *http1.Response, err error) result {
	if err != nil {
		return f.judgeError(ctx, err)
	}
	switch {
	case response.Status == http.StatusMisdirectedRequest:
		return result{outcome: endpoint.OutcomeMisdirected}
	case response.Header.Get(f.config.HeaderNames.NotExecuted) != "":
		return result{outcome: endpoint.OutcomeShed}
	case response.Header.Get("Content-Encoding") != "", response.Header.Get(f.config.HeaderNames.Signature) == "":
		return result{outcome: endpoint.OutcomeBrokenResponse, ran: true}
	case response.Status >= http.StatusInternalServerError:
		return result{response: response, outcome: endpoint.OutcomeFailed, ran: true}
	default:
		return result{response: response, outcome: endpoint.OutcomeAnswered, ran: true}
	}
}

// judgeError says what a failed exchange means.
func (f *Forwarder) judgeError(ctx context.Context, err error) result {
	var failure *http1.ExchangeError
	if !errors.As(err, &failure) {
		return result{outcome: endpoint.OutcomeBrokenResponse, ran: true}
	}
	sent := failure.Stage == http1.StageSent
	switch {
	case failure.BudgetExceeded:
		return result{outcome: endpoint.OutcomeResponseDropped, ran: true}
	case errors.Is(ctx.Err(), context.Canceled):
		return result{outcome: endpoint.OutcomeCancelled, ran: sent}
	case ctx.Err() != nil && sent:
		return result{outcome: endpoint.OutcomeTimedOut, ran: true}
	case failure.Stage == http1.StageDial:
		return result{outcome: endpoint.OutcomeConnectFailed}
	default:
		return result{outcome: endpoint.OutcomeBrokenResponse, ran: sent}
	}
}

// note adds a step to the story of the request.
func (t *task) note(text string) {
	t.trail = append(t.trail, text)
}
