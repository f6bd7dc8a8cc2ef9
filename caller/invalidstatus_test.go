package caller_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"savorystep"
)

// TestServerInvalidStatus guards against a response with a status that HTTP doesn't have,
// such as one that was stored under an idempotency key, that makes the handler panic or is
// handed on.
func TestServerInvalidStatus(t *testing.T) {
	for _, status := range []int{0, 99, 101, 600, 1000} {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			server := httptest.NewServer(newServer(func(context.Context, *savorystep.Request) (*savorystep.Response, error) {
				return &savorystep.Response{Status: status, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("own")), BodyLength: 3}, nil
			}, nil).Handler())
			defer server.Close()
			request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL+"/s/status/x", http.NoBody)
			if err != nil {
				t.Fatal(err)
			}
			response, err := server.Client().Do(request)
			if err != nil {
				t.Fatalf("no answer: %v", err)
			}
			defer func() { _ = response.Body.Close() }()
			kind, ran := response.Header.Get(savorystep.HeaderKind), response.Header.Get(savorystep.HeaderRan)
			if response.StatusCode != http.StatusBadGateway || kind != savorystep.KindUpstreamFailed.String() || ran != savorystep.ExecutionUnknown.String() {
				t.Errorf("status %d, kind %s, ran %s, want 502, %s and %s", response.StatusCode, kind, ran, savorystep.KindUpstreamFailed, savorystep.ExecutionUnknown)
			}
		})
	}
}
