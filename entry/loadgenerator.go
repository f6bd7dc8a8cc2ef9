package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"savorystep"
)

// A LoadGenerator sends an open-loop load: each request is sent at its scheduled time,
// whether or not earlier requests have got a response. Latencies are measured from the
// scheduled time, so that they include the full effect of a stall (no coordinated
// omission).
type LoadGenerator struct {
	config LoadGeneratorConfig
	result *LoadResult
	mu     sync.Mutex
}

// LoadGeneratorConfig configures a LoadGenerator.
type LoadGeneratorConfig struct {
	Arrivals []Arrival
	Clock    savorystep.Clock
	// RequestPath returns the path of a request with the given execution time.
	RequestPath func(executionTime time.Duration) string
	// RequestIDPrefix is the beginning of all request IDs.
	RequestIDPrefix string
	// OnRefusal, if not nil, is called for each request after the warm-up that fails
	// with an error, concurrently from several goroutines.
	OnRefusal func(target LoadTarget, kind savorystep.Kind)
	Targets   []LoadTarget
	// RequestTimeout is the timeout of each request.
	RequestTimeout time.Duration
	// WarmupDuration is the time from the start of the load in which requests are sent
	// but not counted in the result.
	WarmupDuration time.Duration
}

// NewLoadGenerator returns a generator of the load in config.
func NewLoadGenerator(config LoadGeneratorConfig) *LoadGenerator {
	return &LoadGenerator{config: config, result: newLoadResult(len(config.Targets))}
}

// Run sends all requests, waits until they have ended and returns the result. When ctx is
// done, it sends no further requests.
func (l *LoadGenerator) Run(ctx context.Context) *LoadResult {
	start := l.config.Clock.Now()
	var inFlight sync.WaitGroup
	for i, arrival := range l.config.Arrivals {
		scheduledAt := start.Add(arrival.Offset)
		if !savorystep.Sleep(ctx, scheduledAt.Sub(l.config.Clock.Now())) {
			break
		}
		inFlight.Add(1)
		go func() {
			defer inFlight.Done()
			l.send(ctx, i, arrival, scheduledAt)
		}()
	}
	inFlight.Wait()
	l.result.Duration = l.config.Clock.Now().Sub(start)
	return l.result
}

// send sends the request of one arrival and counts its outcome unless it belongs to the
// warm-up.
func (l *LoadGenerator) send(ctx context.Context, index int, arrival Arrival, scheduledAt time.Time) {
	target := l.config.Targets[arrival.StreamIndex]
	request := Request{
		ID:      savorystep.RequestID(fmt.Sprintf("%s%d", l.config.RequestIDPrefix, index)),
		Name:    target.Name,
		Method:  target.method(),
		Path:    l.config.RequestPath(arrival.ExecutionTime),
		Timeout: l.config.RequestTimeout,
	}
	if target.Keyed {
		request.IdempotencyKey = savorystep.IdempotencyKey("key-" + string(request.ID))
	}
	response, err := target.Sender.Send(ctx, request)
	latency := l.config.Clock.Now().Sub(scheduledAt)
	if arrival.Offset < l.config.WarmupDuration {
		return
	}
	if err != nil && l.config.OnRefusal != nil {
		l.config.OnRefusal(target, savorystep.KindOf(err))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.result.addRefusal(arrival, savorystep.KindOf(err))
		return
	}
	l.result.addResponse(arrival, latency, isMatchingResponse(request.ID, response), response)
}

// isMatchingResponse reports whether the body of response is complete JSON that has the
// ID of the request.
func isMatchingResponse(id savorystep.RequestID, response *Response) bool {
	var body struct {
		Request savorystep.RequestID `json:"request"`
	}
	if err := json.Unmarshal(response.Body, &body); err != nil {
		return false
	}
	return body.Request == id
}
