package http1_test

import (
	"errors"
	"runtime"
	"strings"
	"testing"

	"savorystep"
	"savorystep/http1"
)

// maxAllocatedBytes bounds what one exchange may allocate. It is far above the
// largest head and the budget of the tests together, and far below the size of an
// unbounded response after a second.
const maxAllocatedBytes = 8 << 20

// TestExchangeUnboundedResponse guards against an endpoint that exhausts the
// memory of the process with a response that never ends. Such a response was read
// into memory until the deadline of the request.
func TestExchangeUnboundedResponse(t *testing.T) {
	ok := "HTTP/1.1 200 OK\r\nAttempt: 1\r\n"
	cases := []struct {
		name string
		// once is sent first, then repeated is sent until the connection is closed.
		once, repeated string
	}{
		{name: "body in chunks", once: ok + "Transfer-Encoding: chunked\r\n\r\n", repeated: "400\r\n" + strings.Repeat("x", 1024) + "\r\n"},
		{name: "body without length", once: ok + "\r\n", repeated: strings.Repeat("x", 1024)},
		{name: "chunk extension", once: ok + "Transfer-Encoding: chunked\r\n\r\n1;", repeated: strings.Repeat("x", 1024)},
		{name: "chunks of one byte", once: ok + "Transfer-Encoding: chunked\r\n\r\n", repeated: strings.Repeat("1;a=b\r\nx\r\n", 100)},
		{name: "mismatched responses", repeated: "HTTP/1.1 200 OK\r\nAttempt: 2\r\nContent-Length: 262144\r\n\r\n" + strings.Repeat("x", 262144)},
		{name: "header lines", once: ok, repeated: strings.Repeat("A: b\r\n", 100)},
		{name: "interim responses", repeated: strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 100)},
		{name: "no line end", repeated: strings.Repeat("x", 1024)},
		{name: "one header line", once: ok + "A: ", repeated: strings.Repeat("x", 1024)},
		{name: "content length above the limit", once: ok + "Content-Length: 1000000000000\r\n\r\n", repeated: strings.Repeat("x", 1024)},
		{name: "status line", once: "HTTP/1.1 200 ", repeated: strings.Repeat("x", 1024)},
		{name: "trailers", once: ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", repeated: strings.Repeat("A: b\r\n", 100)},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			connClosed := make(chan struct{})
			target, _ := startEndpoint(t, func(c *serverConn) {
				defer close(connClosed)
				if _, err := c.readRequest(); err != nil {
					return
				}
				_, err := c.Write([]byte(test.once))
				repeated := []byte(test.repeated)
				for err == nil {
					_, err = c.Write(repeated)
				}
			})
			budget := http1.NewMemoryBudget(1 << 20)
			pool := newPoolWithBudget(budget)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			response, err := pool.Exchange(t.Context(), target, newRequest("1"))
			runtime.ReadMemStats(&after)
			var exchangeErr *http1.ExchangeError
			if !errors.As(err, &exchangeErr) || exchangeErr.Stage != http1.StageSent {
				t.Fatalf("response %v, error %v, want an error with stage %d", response, err, http1.StageSent)
			}
			<-connClosed
			if allocated := after.TotalAlloc - before.TotalAlloc; allocated > maxAllocatedBytes {
				t.Errorf("exchange allocated %d bytes, want at most %d", allocated, maxAllocatedBytes)
			}
			if usedBytes := budget.UsedBytes(); usedBytes != 0 {
				t.Errorf("%d bytes of the budget are in use after the exchange, want 0", usedBytes)
			}
		})
	}
}

// TestResponsesShareBudget guards against a process that runs out of memory when
// many large responses arrive together, and against an exceeded budget that is
// reported as a fault of the endpoint.
func TestResponsesShareBudget(t *testing.T) {
	target, _ := startEndpoint(t, func(c *serverConn) {
		for {
			id, err := c.readRequest()
			if err != nil {
				return
			}
			c.writeResponse(id, strings.Repeat("x", 1000))
		}
	})
	budget := http1.NewMemoryBudget(2500)
	pool := newPoolWithBudget(budget)
	var responses []*http1.Response
	for range 2 {
		response, err := pool.Exchange(t.Context(), target, newRequest("1"))
		if err != nil {
			t.Fatal(err)
		}
		responses = append(responses, response)
	}
	_, err := pool.Exchange(t.Context(), target, newRequest("1"))
	var exchangeErr *http1.ExchangeError
	if !errors.As(err, &exchangeErr) || !exchangeErr.BudgetExceeded || exchangeErr.ClosedByEndpoint || exchangeErr.Stage != http1.StageSent {
		t.Fatalf("error %v, want an exceeded budget with stage %d", err, http1.StageSent)
	}
	for _, response := range responses {
		response.Release()
		response.Release()
	}
	if usedBytes := budget.UsedBytes(); usedBytes != 0 {
		t.Errorf("%d bytes of the budget are in use after all responses were released, want 0", usedBytes)
	}
	if _, err := pool.Exchange(t.Context(), target, newRequest("1")); err != nil {
		t.Errorf("exchange after the other responses were released: %v", err)
	}
}

func newPoolWithBudget(budget *http1.MemoryBudget) *http1.Pool {
	return http1.NewPool(http1.Config{DialTimeout: dialTimeout, ResponseBudget: budget, HeaderNames: savorystep.HeaderNames{AttemptID: "Attempt", NotExecuted: "Not-Run"}})
}
