package ingress_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
)

// BenchmarkProxy measures the forwarding of a request without the network: route
// matching, endpoint selection, headers, response and log line.
func BenchmarkProxy(b *testing.B) {
	proxy, _, _ := newTestProxy(b, "ok")
	b.ReportAllocs()
	for b.Loop() {
		request := httptest.NewRequestWithContext(b.Context(), http.MethodGet, "/safe/x", http.NoBody)
		request.Host = "h"
		recorder := httptest.NewRecorder()
		proxy.ServeHTTP(recorder, request)
	}
}
