package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"savorystep"
)

// A Load sends an open-loop load: requests go out at their times, whether or
// not earlier ones were answered. Latency counts from the planned time, so a
// stall is seen in full.
type Load struct {
	config LoadConfig
	result *LoadResult
	mu     sync.Mutex
}

// LoadConfig configures a Load.
type LoadConfig struct {
	Arrivals []Arrival
	Clock    savorystep.Clock
	// Path returns the path of the request with the given work.
	Path func(work time.Duration) string
	// Prefix begins the request ids.
	Prefix string
	// Refused, if not nil, is called for each refused request.
	Refused func(target LoadTarget, kind savorystep.Kind)
	Targets []LoadTarget
	// Timeout is the deadline of each request.
	Timeout time.Duration
	// Warmup is the time at the start whose requests are not counted.
	Warmup time.Duration
}

// NewLoad returns a load that is ready to run.
func NewLoad(config LoadConfig) *Load {
	return &Load{config: config, result: newLoadResult(len(config.Targets))}
}

// Run sends all requests, waits for their answers and returns the result.
func (l *Load) Run(ctx context.Context) *LoadResult {
	start := l.config.Clock.Now()
	var running sync.WaitGroup
	for i, arrival := range l.config.Arrivals {
		due := start.Add(arrival.At)
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
	l.result.Length = l.config.Clock.Now().Sub(start)
	return l.result
}

// send sends one request and counts its outcome.
func (l *Load) send(ctx context.Context, index int, arrival Arrival, due time.Time) {
	target := l.config.Targets[arrival.Stream]
	request := Request{
		ID:      savorystep.RequestID(fmt.Sprintf("%s%d", l.config.Prefix, index)),
		Name:    target.Name,
		Method:  target.method(),
		Path:    l.config.Path(arrival.Work),
		Timeout: l.config.Timeout,
	}
	if target.Keyed {
		request.Key = savorystep.IdempotencyKey("key-" + string(request.ID))
	}
	response, err := target.Sender.Send(ctx, request)
	took := l.config.Clock.Now().Sub(due)
	if arrival.At < l.config.Warmup {
		return
	}
	if err != nil && l.config.Refused != nil {
		l.config.Refused(target, savorystep.KindOf(err))
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
