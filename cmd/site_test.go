package cmd

import (
	"net/http"
	"testing"
	"time"

	"savorystep/entry"
	"savorystep/standin"
)

// TestSitePath guards against a failure anywhere on the path of a request, from the
// lookup of a misspelled name to the complete response.
func TestSitePath(t *testing.T) {
	s, err := newSite(t.Context(), siteConfig{Shape: standin.Huon(), EntryCount: 3, MeanServiceTime: -1, ShutdownDelay: time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	client := s.newClient("hobart", 0)
	defer client.Close()
	response, err := client.Send(t.Context(), entry.Request{ID: "r1", Name: "paterns", Method: http.MethodGet, Path: "/run/1000"})
	if err != nil {
		t.Fatal(err)
	}
	if response.Status != http.StatusOK {
		t.Errorf("status = %d, want %d; body = %s", response.Status, http.StatusOK, response.Body)
	}
}
