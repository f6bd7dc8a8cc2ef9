package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"savorystep"
)

// A LoadGenerator sends an open-loop load: requests go out at their times, whether or
// not earlier ones were answered. Latency counts from the planned time, so a
// stall is seen in full.
type LoadGenerator struct {
	config LoadGeneratorConfig
	result *LoadResult
	mu     sync.Mutex
}

// LoadGeneratorConfig configures a Load.
type LoadGeneratorConfig struct {
	Arrivals []Arrival
	Clock    savorystep.Clock
	// RequestPath returns the path of the request with the given work.
	RequestPath func(work time.Duration) string
	// RequestIDPrefix begins the request ids.
	RequestIDPrefix string
	// OnRefusal, if not nil, is called for each refused request.
	OnRefusal func(target LoadTarget, kind savorystep.Kind)
	Targets   []LoadTarget
	// RequestTimeout is the deadline of each request.
	RequestTimeout time.Duration
	// WarmupDuration is the time at the start whose requests are not counted.
	WarmupDuration time.Duration
}

// NewLoadGenerator returns a load that is ready to run.
func NewLoadGenerator(config LoadGeneratorConfig) *LoadGenerator {
	return &LoadGenerator{config: config, result: newLoadResult(len(config.Targets))}
}

// Run sends all requests, waits for their answers and returns the result.
func (l *LoadGenerator) Run(ctx context.Context) *LoadResult {
	start := l.config.Clock.Now()
	var running sync.WaitGroup
	for i, arrival := range l.config.Arrivals {
		due := start.Add(arrival.Offset)
		if !savorystep.Sleep(ctx, due.Sub(l.config.Clock.Now())) {
			break
		}
		running.Add(1)
		go func() {
			defer running.Done()
			l.send(ctx, i, arrival, due)
		}()
	}
	running.Wait()
	l.result.Duration = l.config.Clock.Now().Sub(start)
	return l.result
}

// send sends one request and counts its outcome.
func (l *LoadGenerator) send(ctx context.Context, index int, arrival Arrival, due time.Time) {
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
	took := l.config.Clock.Now().Sub(due)
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
	l.result.addAnswer(arrival, took, isOwnAnswer(request.ID, response), response)
}

// isOwnAnswer reports whether the answer is whole and that of the request.
func isOwnAnswer(id savorystep.RequestID, response *Response) bool {
	var answer struct {
		Request savorystep.RequestID `json:"request"`
	}
	if err := json.Unmarshal(response.Body, &answer); err != nil {
		return false
	}
	return answer.Request == id
}
