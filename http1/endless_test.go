package http1_test

import (
	"errors"
	"runtime"
	"strings"
	"testing"

	"savorystep"
	"savorystep/http1"
)

// mostAllocated bounds what one exchange may allocate. It is far above the
// largest head and the budget of the tests together, and far below what an
// endless answer brings within a second.
const mostAllocated = 8 << 20

// TestExchangeEndless guards against an endpoint that ends the process: bytes
// without end were read into memory until the request's deadline.
func TestExchangeEndless(t *testing.T) {
	ok := "HTTP/1.1 200 OK\r\nAttempt: 1\r\n"
	cases := []struct {
		name string
		// once is sent first, then again without end.
		once, again string
	}{
		{name: "body in chunks", once: ok + "Transfer-Encoding: chunked\r\n\r\n", again: "400\r\n" + strings.Repeat("x", 1024) + "\r\n"},
		{name: "body without length", once: ok + "\r\n", again: strings.Repeat("x", 1024)},
		{name: "chunk extension", once: ok + "Transfer-Encoding: chunked\r\n\r\n1;", again: strings.Repeat("x", 1024)},
		{name: "chunks of one byte", once: ok + "Transfer-Encoding: chunked\r\n\r\n", again: strings.Repeat("1;a=b\r\nx\r\n", 100)},
		{name: "foreign answers", again: "HTTP/1.1 200 OK\r\nAttempt: 2\r\nContent-Length: 262144\r\n\r\n" + strings.Repeat("x", 262144)},
		{name: "header lines", once: ok, again: strings.Repeat("A: b\r\n", 100)},
		{name: "interim answers", again: strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 100)},
		{name: "no line end", again: strings.Repeat("x", 1024)},
		{name: "one header line", once: ok + "A: ", again: strings.Repeat("x", 1024)},
		{name: "stated length above the bound", once: ok + "Content-Length: 1000000000000\r\n\r\n", again: strings.Repeat("x", 1024)},
		{name: "status line", once: "HTTP/1.1 200 ", again: strings.Repeat("x", 1024)},
		{name: "trailers", once: ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", again: strings.Repeat("A: b\r\n", 100)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ended := make(chan struct{})
			target, _ := startEndpoint(t, func(p *peer) {
				defer close(ended)
				if _, err := p.request(); err != nil {
					return
				}
				_, err := p.Write([]byte(c.once))
				again := []byte(c.again)
				for err == nil {
					_, err = p.Write(again)
				}
			})
			budget := http1.NewMemoryBudget(1 << 20)
			pool := newPoolWithBudget(budget)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			response, err := pool.Exchange(t.Context(), target, newRequest("1"))
			runtime.ReadMemStats(&after)
			var failure *http1.ExchangeError
			if !errors.As(err, &failure) || failure.Stage != http1.StageSent {
				t.Fatalf("%v, %v, want a request that was sent and not answered", response, err)
			}
			<-ended
			if allocated := after.TotalAlloc - before.TotalAlloc; allocated > mostAllocated {
				t.Errorf("%d bytes were allocated, want at most %d", allocated, mostAllocated)
			}
			if held := budget.UsedBytes(); held != 0 {
				t.Errorf("%d bytes of the budget are held after the exchange", held)
			}
		})
	}
}

// TestAnswersShareBudget guards against a process that ends for lack of memory
// when many large answers come together, and against a full budget that is
// blamed on an endpoint.
func TestAnswersShareBudget(t *testing.T) {
	target, _ := startEndpoint(t, func(p *peer) {
		for {
			id, err := p.request()
			if err != nil {
				return
			}
			p.answer(id, strings.Repeat("x", 1000))
		}
	})
	budget := http1.NewMemoryBudget(2500)
	pool := newPoolWithBudget(budget)
	var held []*http1.Response
	for range 2 {
		response, err := pool.Exchange(t.Context(), target, newRequest("1"))
		if err != nil {
			t.Fatal(err)
		}
		held = append(held, response)
	}
	_, err := pool.Exchange(t.Context(), target, newRequest("1"))
	var failure *http1.ExchangeError
	if !errors.As(err, &failure) || !failure.BudgetExceeded || failure.InvalidResponse || failure.Stage != http1.StageSent {
		t.Fatalf("%v, want a request that was sent and whose answer found no room", err)
	}
	for _, response := range held {
		response.Release()
		response.Release()
	}
	if left := budget.UsedBytes(); left != 0 {
		t.Errorf("%d bytes are held after all answers were released", left)
	}
	if _, err := pool.Exchange(t.Context(), target, newRequest("1")); err != nil {
		t.Errorf("%v after the others were released", err)
	}
}

func newPoolWithBudget(budget *http1.MemoryBudget) *http1.Pool {
	return http1.NewPool(http1.Config{ResponseBudget: budget, HeaderNames: savorystep.HeaderNames{AttemptID: "Attempt", NotExecuted: "Not-Run"}})
}
