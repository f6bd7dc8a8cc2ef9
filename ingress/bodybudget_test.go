package ingress_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"savorystep/http1"
)

// TestBodiesShareBudget guards against an instance that runs out of memory when
// many uploads arrive together: it sends 8 bodies of 100 bytes with a budget for 4.
func TestBodiesShareBudget(t *testing.T) {
	for _, test := range []struct {
		name        string
		length      int64
		memoryLimit int64
		requests    int
		rejected    int
	}{
		{name: "known length", length: 100, memoryLimit: 4 * 400, requests: 8, rejected: 4},
		{name: "unknown length", length: -1, memoryLimit: 4 * 4 * http1.ReservationStepBytes, requests: 8, rejected: 4},
	} {
		t.Run(test.name, func(t *testing.T) {
			outcomes := make([]string, test.requests)
			for i := range outcomes {
				outcomes[i] = "block"
			}
			proxy, transport, _ := newTestProxyWithMemory(t, test.memoryLimit, outcomes...)
			statuses := make(chan int, test.requests)
			for range test.requests {
				go func() {
					request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/upload/x", io.NopCloser(strings.NewReader(strings.Repeat("x", 100))))
					request.Host, request.ContentLength = "h", test.length
					recorder := httptest.NewRecorder()
					proxy.ServeHTTP(recorder, request)
					statuses <- recorder.Code
				}()
			}
			for range test.rejected {
				if status := <-statuses; status != http.StatusServiceUnavailable {
					t.Errorf("status %d while the budget is used up, want 503", status)
				}
			}
			close(transport.block)
			for range test.requests - test.rejected {
				if status := <-statuses; status != http.StatusOK {
					t.Errorf("status %d for a body within the budget, want 200", status)
				}
			}
		})
	}
}
