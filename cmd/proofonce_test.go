package cmd

import (
	"fmt"
	"math"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"savorystep"
	"savorystep/standin"
)

// An onceHistory records the operations on each key.
type onceHistory struct {
	mu    sync.Mutex
	start time.Time
	ops   map[savorystep.IdempotencyKey][]porcupine.Operation
	// refused is true for a key as long as all its attempts did not run.
	refused map[savorystep.IdempotencyKey]bool
	unknown int
}

// A onceInput is a send or, at the end, the count of runs.
type onceInput struct {
	count bool
}

// A onceOutput is the outcome of a send, or the count.
type onceOutput struct {
	ran    savorystep.Execution
	answer string
	count  int
}

// A onceState is what a key's request did.
type onceState struct {
	ran bool
	// answer is empty until it is known.
	answer string
}

// onceModel allows one run for each key. A send with an unknown outcome may or
// may not have run.
var onceModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{onceState{}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(onceState), input.(onceInput), output.(onceOutput)
		switch {
		case in.count && (out.count == 0 && !s.ran || out.count == 1 && s.ran):
			return []any{s}
		case in.count:
			return nil
		case out.ran == savorystep.NotExecuted:
			return []any{s}
		case out.ran == savorystep.ExecutionUnknown && s.ran:
			return []any{s}
		case out.ran == savorystep.ExecutionUnknown:
			return []any{s, onceState{ran: true}}
		case s.answer == "" || s.answer == out.answer:
			return []any{onceState{ran: true, answer: out.answer}}
		default:
			return nil
		}
	},
}

func newOnceHistory() *onceHistory {
	return &onceHistory{
		start:   time.Now(),
		ops:     make(map[savorystep.IdempotencyKey][]porcupine.Operation),
		refused: make(map[savorystep.IdempotencyKey]bool),
	}
}

// add records an attempt. One with an unknown outcome may take effect later.
func (h *onceHistory) add(client int, key savorystep.IdempotencyKey, call time.Time, answer proofAnswer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := onceOutput{ran: answer.ran}
	end := time.Since(h.start).Nanoseconds()
	switch {
	case answer.answered():
		out = onceOutput{ran: savorystep.Executed, answer: answer.body}
	case answer.ran != savorystep.NotExecuted:
		out.ran = savorystep.ExecutionUnknown
		end = math.MaxInt64 - 2
		h.unknown++
	}
	refused, seen := h.refused[key]
	h.refused[key] = out.ran == savorystep.NotExecuted && (refused || !seen)
	h.ops[key] = append(h.ops[key], porcupine.Operation{
		ClientId: client, Input: onceInput{}, Output: out, Call: call.Sub(h.start).Nanoseconds(), Return: end,
	})
}

// violations returns what is wrong with the histories and the counts.
func (h *onceHistory) violations(runs map[savorystep.IdempotencyKey]int) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var wrong []string
	for key, ops := range h.ops {
		if runs[key] > 1 {
			wrong = append(wrong, fmt.Sprintf("%s ran %d times", key, runs[key]))
		}
		if h.refused[key] && runs[key] > 0 {
			wrong = append(wrong, fmt.Sprintf("%s ran although its caller was told that it did not", key))
		}
		count := porcupine.Operation{
			ClientId: math.MaxInt32, Input: onceInput{count: true}, Output: onceOutput{count: runs[key]},
			Call: math.MaxInt64 - 1, Return: math.MaxInt64,
		}
		history := append([]porcupine.Operation{count}, ops...)
		switch result, _ := porcupine.CheckOperationsVerbose(onceModel.ToModel(), history, 20*time.Second); result {
		case porcupine.Ok:
		case porcupine.Illegal:
			wrong = append(wrong, fmt.Sprintf("the history of %s is not that of one run: %+v", key, history))
		case porcupine.Unknown:
			wrong = append(wrong, fmt.Sprintf("the history of %s was not checked in time", key))
		}
	}
	return wrong
}

// count returns how many keys are refused and how many are not.
func (h *onceHistory) count() (refused, others int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range h.refused {
		if r {
			refused++
		} else {
			others++
		}
	}
	return refused, others
}

// onceRequest returns the request with the given key number. Some are slow, so
// that faults find them between permission and answer.
func onceRequest(n int) proofRequest {
	path := "/renew"
	if n%3 == 0 {
		path = "/slow/250"
	}
	return proofRequest{
		method: http.MethodPost, path: path, service: "renewals", body: fmt.Sprint("renewal ", n),
		id:  savorystep.RequestID(fmt.Sprint("once-", n)),
		key: savorystep.IdempotencyKey(fmt.Sprint("once-", n)),
	}
}

// sendOnce sends a key through all entries in turn until it is answered.
func sendOnce(p *proofSystem, h *onceHistory, client, n, attempts int) {
	request := onceRequest(n)
	request.timeout = 2 * time.Second
	// An attempt stays the first one while all before it did not run. A key that
	// two callers send has no first attempt that either could mark.
	request.first = client == 0 && n%4 != 0
	for attempt := range attempts {
		call := time.Now()
		answer := sendTo(p.t.Context(), p.caller(n+client+attempt), request)
		h.add(client, request.key, call, answer)
		request.first = request.first && answer.ran == savorystep.NotExecuted
		if answer.answered() || !savorystep.Sleep(p.t.Context(), 100*time.Millisecond) {
			return
		}
	}
}

// startOnce sends keys from several workers until stop is closed. Each fourth
// key is sent by two callers at the same time.
func startOnce(p *proofSystem, h *onceHistory, workers, first int, stop <-chan struct{}) *sync.WaitGroup {
	var running sync.WaitGroup
	for worker := range workers {
		running.Go(func() {
			for n := first + worker; ; n += workers {
				select {
				case <-stop:
					return
				default:
				}
				var both sync.WaitGroup
				if n%4 == 0 {
					both.Go(func() { sendOnce(p, h, 1, n, 6) })
				}
				sendOnce(p, h, 0, n, 6)
				both.Wait()
			}
		})
	}
	return &running
}

// replaceEntry kills an entry and starts another one in its region.
func (p *proofSystem) replaceEntry(i int) {
	p.t.Helper()
	p.entries[i].signal(syscall.SIGKILL)
	address := p.settings[i].CallerAddress
	region := p.settings[i].Region
	p.startEntry(region)
	p.join(len(p.entries) - 1)
	p.mu.Lock()
	defer p.mu.Unlock()
	for k, caller := range p.callers {
		if caller == address {
			p.callers = append(p.callers[:k:k], p.callers[k+1:]...)
			return
		}
	}
}

// TestProofAtMostOnce guards against a second run of a keyed request, and
// against a run of a request whose caller was told that it did not run, while
// two faults at a time hold: entries die or are paused, an upstream dies, the
// platform loses answers, commits late, is down or slow.
func TestProofAtMostOnce(t *testing.T) {
	if testing.Short() {
		t.Skip("takes 30 s")
	}
	t.Parallel()
	p := startProof(t, proofConfig{Entries: 3, Endpoints: 6, Services: []savorystep.Service{"renewals"}})
	p.apply(p.record("renewals", proofRegions...))
	h := newOnceHistory()
	stop := make(chan struct{})
	running := startOnce(p, h, 10, 0, stop)
	pause := func(i int, then func()) {
		p.entries[i].signal(syscall.SIGSTOP)
		then()
		time.Sleep(4 * time.Second)
		p.entries[i].signal(syscall.SIGCONT)
	}
	set := func(faults standin.PlatformFaults, hold time.Duration) {
		p.platform.SetFaults(faults)
		time.Sleep(hold)
	}
	crash := func(id savorystep.EndpointID) { p.endpoints[id].Crash() }
	rounds := []func(){
		func() { set(standin.PlatformFaults{LoseResponses: 20}, 200*time.Millisecond); p.replaceEntry(0) },
		func() { pause(1, func() { set(standin.PlatformFaults{CommitDelayMillis: 1500}, 2*time.Second) }) },
		func() { set(standin.PlatformFaults{DelayMillis: 300}, 500*time.Millisecond); crash("renewals-0") },
		func() { set(standin.PlatformFaults{Down: true}, time.Second); crash("renewals-4") },
		func() { pause(2, func() { set(standin.PlatformFaults{LoseResponses: 50}, time.Second) }) },
		func() {
			set(standin.PlatformFaults{CommitDelayMillis: 500}, time.Second)
			p.entries[1].signal(syscall.SIGKILL)
			set(standin.PlatformFaults{}, time.Second)
			p.replaceEntry(1)
		},
	}
	for _, round := range rounds {
		round()
		set(standin.PlatformFaults{}, 700*time.Millisecond)
	}
	close(stop)
	running.Wait()
	atEnd := p.keyRuns()
	// Late commits have all taken effect after this time.
	time.Sleep(4 * time.Second)
	for _, wrong := range h.violations(p.keyRuns()) {
		t.Error(wrong)
	}
	refused, others := h.count()
	h.mu.Lock()
	var again []int
	for key, r := range h.refused {
		var n int
		if _, err := fmt.Sscanf(string(key), "once-%d", &n); err != nil {
			t.Fatal(err)
		}
		if !r {
			again = append(again, n)
		}
	}
	unknown := h.unknown
	h.mu.Unlock()
	var resending sync.WaitGroup
	for worker := range 8 {
		resending.Go(func() {
			for i := worker; i < len(again); i += 8 {
				sendOnce(p, h, 2, again[i], 1)
			}
		})
	}
	resending.Wait()
	runs := p.keyRuns()
	for _, wrong := range h.violations(runs) {
		t.Error("after the last re-sends: ", wrong)
	}
	ran := 0
	for _, count := range atEnd {
		ran += count
	}
	t.Logf("%d keys ran, %d were refused and %d not, %d attempts had an unknown outcome", ran, refused, others, unknown)
	if ran < 100 || unknown == 0 || refused == 0 {
		t.Error("the faults did not meet enough requests")
	}
}

// TestProofAtMostOnceUnchecked shows that the check finds a second run if the
// conditions on the rows of keys are removed.
func TestProofAtMostOnceUnchecked(t *testing.T) {
	t.Parallel()
	p := startProof(t, proofConfig{
		Entries: 2, Endpoints: 3, Services: []savorystep.Service{"renewals"},
		Table: &uncheckedTable{Table: standin.NewTable(), prefixes: []savorystep.RowKey{"key/"}},
	})
	p.apply(p.record("renewals", proofRegions...))
	h := newOnceHistory()
	for n := 0; n < 40; n += 4 {
		var both sync.WaitGroup
		both.Go(func() { sendOnce(p, h, 0, n, 1) })
		both.Go(func() { sendOnce(p, h, 1, n, 1) })
		both.Wait()
	}
	if wrong := h.violations(p.keyRuns()); len(wrong) == 0 {
		t.Error("the check found no second run")
	}
}
