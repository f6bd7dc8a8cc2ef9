package http1_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"savorystep/http1"
)

// TestInvalidStatus guards against a response with a status that HTTP doesn't have, or that
// nothing asked for, that is read over like an interim one: its request waits until its
// deadline, or gets what follows on the connection.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []string{"000 Nothing", "099 Less", "101 Switching Protocols", "600 More", "999 Most"} {
		t.Run(status, func(t *testing.T) {
			target, accepted := startEndpoint(t, func(c *serverConn) {
				id, err := c.readRequest()
				if err != nil {
					return
				}
				if id == "1" {
					_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\nAttempt: 1\r\nContent-Length: 0\r\n\r\n", status)
					if id, err = c.readRequest(); err != nil {
						return
					}
				}
				c.writeResponse(id, "own")
			})
			pool := newPool()
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			response, err := pool.Exchange(ctx, target, newRequest("1"))
			var exchangeErr *http1.ExchangeError
			if !errors.As(err, &exchangeErr) || exchangeErr.Stage != http1.StageSent {
				t.Fatalf("response %+v, error %v, want an ExchangeError of a request that was sent", response, err)
			}
			if ctx.Err() != nil {
				t.Errorf("error %v at the deadline of the request, want it as soon as the head is complete", err)
			}
			response, err = pool.Exchange(t.Context(), target, newRequest("2"))
			if err != nil {
				t.Fatal(err)
			}
			response.Release()
			if accepted.Load() != 2 {
				t.Errorf("endpoint accepted %d connections, want 2: the first one can't be reused", accepted.Load())
			}
		})
	}
}
