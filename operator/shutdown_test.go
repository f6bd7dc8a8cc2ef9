package operator_test

import (
	"bufio"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"savorystep"
	"savorystep/operator"
)

// noEvents is an event recorder without events.
type noEvents struct{}

func (noEvents) Events() []savorystep.Event { return nil }

func (noEvents) Record(savorystep.Event) {}

// TestShutdownEndsStream guards against an event stream without end that keeps an instance
// from stopping, or is cut off instead of ended.
func TestShutdownEndsStream(t *testing.T) {
	shutdown := make(chan struct{})
	server := httptest.NewServer(operator.NewServer(operator.ServerConfig{Recorder: noEvents{}, Token: "t", Shutdown: shutdown}))
	defer server.Close()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL+"/v1/events?follow=true", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer t")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewReader(response.Body)
	if line, err := lines.ReadString('\n'); err != nil {
		t.Fatalf("first line %q, error %v", line, err)
	}
	close(shutdown)
	if _, err := io.Copy(io.Discard, lines); err != nil {
		t.Errorf("end of the stream: %v, want none", err)
	}
}
