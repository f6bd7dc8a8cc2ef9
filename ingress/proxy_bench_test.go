package ingress_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
)

// BenchmarkFront measures a request's way through an instance without the
// network: routing, choice, headers, answer and log line.
func BenchmarkFront(b *testing.B) {
	front, _, _ := newFront(b, "ok")
	b.ReportAllocs()
	for b.Loop() {
		request := httptest.NewRequestWithContext(b.Context(), http.MethodGet, "/safe/x", http.NoBody)
		request.Host = "h"
		answer := httptest.NewRecorder()
		front.ServeHTTP(answer, request)
	}
}
