package caller_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"savorystep"
)

// A panickingBody is a response body whose second read panics.
type panickingBody struct {
	io.Reader
}

func (b panickingBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		panic("a fault of the body")
	}
	return n, err
}

func (panickingBody) Close() error { return nil }

// TestServerPanic guards against a request whose caller gets no answer, because its handler
// panics before it has written one, and against a second answer, or a complete one, if it
// panics thereafter.
func TestServerPanic(t *testing.T) {
	for _, test := range []struct {
		name    string
		forward forwardFunc
		want    int
	}{
		{name: "before the answer", want: http.StatusInternalServerError, forward: func(context.Context, *savorystep.Request) (*savorystep.Response, error) {
			panic("a fault of the forwarder")
		}},
		{name: "in the body", want: http.StatusOK, forward: func(context.Context, *savorystep.Request) (*savorystep.Response, error) {
			return &savorystep.Response{Status: http.StatusOK, Header: http.Header{}, Body: panickingBody{strings.NewReader("part")}, BodyLength: -1}, nil
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(newServer(test.forward, nil).Handler())
			defer server.Close()
			request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL+"/s/status/x", http.NoBody)
			if err != nil {
				t.Fatal(err)
			}
			response, err := server.Client().Do(request)
			if err != nil {
				t.Fatalf("no answer after a panic: %v", err)
			}
			defer func() { _ = response.Body.Close() }()
			if response.StatusCode != test.want {
				t.Errorf("status %d, want %d", response.StatusCode, test.want)
			}
			body, err := io.ReadAll(response.Body)
			if isComplete := test.want != http.StatusOK; (err == nil) != isComplete {
				t.Errorf("body %q, error %v, want a complete body %t", body, err, isComplete)
			}
			if ran := response.Header.Get(savorystep.HeaderRan); test.want != http.StatusOK && (ran != savorystep.ExecutionUnknown.String() || !response.Close) {
				t.Errorf("ran %q, closes %t, want %s and true", ran, response.Close, savorystep.ExecutionUnknown)
			}
		})
	}
}
