package ingress_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"savorystep/http1"
)

// TestBodiesShareBudget guards against an instance that ends for lack of memory
// when many uploads come together: 8 bodies of 100 bytes, with a budget for 4.
func TestBodiesShareBudget(t *testing.T) {
	for _, test := range []struct {
		name    string
		length  int64
		memory  int64
		at      int
		refused int
	}{
		{name: "known length", length: 100, memory: 4 * 400, at: 8, refused: 4},
		{name: "unknown length", length: -1, memory: 4 * 4 * http1.ReservationStepBytes, at: 8, refused: 4},
	} {
		t.Run(test.name, func(t *testing.T) {
			outcomes := make([]string, test.at)
			for i := range outcomes {
				outcomes[i] = "block"
			}
			front, sender, _ := newFrontWithMemory(t, test.memory, outcomes...)
			statuses := make(chan int, test.at)
			for range test.at {
				go func() {
					request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/upload/x", io.NopCloser(strings.NewReader(strings.Repeat("x", 100))))
					request.Host, request.ContentLength = "h", test.length
					answer := httptest.NewRecorder()
					front.ServeHTTP(answer, request)
					statuses <- answer.Code
				}()
			}
			for range test.refused {
				if status := <-statuses; status != http.StatusServiceUnavailable {
					t.Errorf("status %d before any request ended, want 503", status)
				}
			}
			close(sender.block)
			for range test.at - test.refused {
				if status := <-statuses; status != http.StatusOK {
					t.Errorf("status %d, want 200", status)
				}
			}
		})
	}
}
