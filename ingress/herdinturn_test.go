package ingress_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"savorystep"
	"savorystep/http1"
)

// An inTurnTransport simulates endpoints that fail one after the other: each of the next
// requests, whichever it is, is in flight at an endpoint when that crashes.
type inTurnTransport struct {
	mu      sync.Mutex
	crashes int
	// crashed holds the times of the crashes.
	crashed []time.Time
}

func (t *inTurnTransport) Exchange(context.Context, savorystep.Endpoint, *http1.Request) (*http1.Response, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.crashes > 0 {
		t.crashes--
		t.crashed = append(t.crashed, time.Now())
		return nil, &http1.ExchangeError{Stage: http1.StageSent, ClosedByEndpoint: true, Cause: io.EOF}
	}
	return &http1.Response{Status: http.StatusOK, Header: http.Header{"Signature": {"s"}}}, nil
}

// failNext lets the endpoints of the next requests crash.
func (t *inTurnTransport) failNext(requests int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.crashes = requests
}

// TestBusyRequestSurvivesFailuresInTurn guards against a busy request that stays refused
// after the endpoints of its service failed one after the other, although endpoints run
// it again.
func TestBusyRequestSurvivesFailuresInTurn(t *testing.T) {
	for _, crashes := range []int{3, 4, 5, 12} {
		t.Run(strconv.Itoa(crashes), func(t *testing.T) {
			transport := &inTurnTransport{}
			proxies, _ := newHerdProxies(t, transport)
			for n := range 4 {
				if status := sendAttempt(t, proxies[n%2], fmt.Sprint("before", n)); status != http.StatusOK {
					t.Fatalf("status %d before the failures, want 200", status)
				}
			}
			transport.failNext(crashes)
			for n := range crashes {
				sendAttempt(t, proxies[n%2], fmt.Sprint("during", n))
			}
			transport.failNext(0)
			for i, proxy := range proxies {
				await(t, fmt.Sprintf("instance %d answers", i), func() bool {
					time.Sleep(50 * time.Millisecond)
					return sendAttempt(t, proxy, fmt.Sprint("after", i)) == http.StatusOK
				})
			}
		})
	}
}

// contact is the bound of that name of the platform: what reaches endpoints later than
// this after the third crash is late.
const contact = 4 * time.Second

// countLate returns the number of crashes later than contact after the third.
func (t *inTurnTransport) countLate() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	late := 0
	for i, at := range t.crashed {
		if i > 2 && at.Sub(t.crashed[2]) > contact {
			late++
		}
	}
	return late
}

// TestProbesAreBounded guards against a request that crashes each endpoint and is probed
// again and again. The platform allows three late deliveries at all instances together. A
// request that no endpoint has answered is not probed at all.
func TestProbesAreBounded(t *testing.T) {
	tests := []struct {
		name        string
		wasAnswered bool
		maxLate     int
	}{
		{name: "answered before", wasAnswered: true, maxLate: 3},
		{name: "never answered", maxLate: 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			transport := &inTurnTransport{}
			proxies, _ := newHerdProxies(t, transport)
			if test.wasAnswered && sendAttempt(t, proxies[0], "before") != http.StatusOK {
				t.Fatal("the request is not answered before the crashes")
			}
			transport.failNext(1 << 30)
			status := 0
			for end, n := time.Now().Add(15*time.Second), 0; time.Now().Before(end); n++ {
				var group sync.WaitGroup
				for _, proxy := range proxies {
					group.Go(func() { sendAttempt(t, proxy, fmt.Sprint("since", n)) })
				}
				group.Wait()
				status = sendAttempt(t, proxies[0], fmt.Sprint("last", n))
				time.Sleep(20 * time.Millisecond)
			}
			if late := transport.countLate(); late > test.maxLate || status != http.StatusServiceUnavailable {
				t.Errorf("%d late deliveries, the last request got status %d, want at most %d and 503", late, status, test.maxLate)
			}
		})
	}
}
