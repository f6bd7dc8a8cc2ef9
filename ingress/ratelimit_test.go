package ingress_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
)

// TestRateLimitStatements guards against responses whose rate limit is not noticed,
// and against limits that are taken from or ended by responses that do not come from
// the endpoint.
func TestRateLimitStatements(t *testing.T) {
	for _, test := range []struct {
		name     string
		outcomes []string
		want     int
	}{
		{name: "no limit", outcomes: []string{"ok"}, want: 0},
		{name: "limit", outcomes: []string{"limited"}, want: 1},
		{name: "limit in a response without execution", outcomes: []string{"limited shed", "ok"}, want: 1},
		{name: "limit of another endpoint at the address", outcomes: []string{"limited gone", "ok"}, want: 0},
		{name: "limit that is not a number", outcomes: []string{"limited badly"}, want: 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			proxy, _, router := newTestProxy(t, test.outcomes...)
			recorder := httptest.NewRecorder()
			r := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "http://h/safe/x", http.NoBody)
			r.RequestURI = "/safe/x"
			r.Header.Set("Attempt", "1")
			proxy.ServeHTTP(recorder, r)
			if got := router.CountRateLimited(); got != test.want {
				t.Errorf("%d endpoints have a rate limit, want %d", got, test.want)
			}
		})
	}
}
