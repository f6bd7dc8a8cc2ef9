package http1_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"savorystep"
	"savorystep/http1"
)

// TestUploadToEndpointThatReadsLate guards against an upload that is cut while its
// endpoint works and does not read: a full receive window is no sign of a machine that is
// down.
func TestUploadToEndpointThatReadsLate(t *testing.T) {
	target, accepted := startEndpoint(t, func(c *serverConn) {
		for {
			r, err := http.ReadRequest(c.reader)
			if err != nil {
				return
			}
			if r.ContentLength > 0 {
				time.Sleep(1500 * time.Millisecond)
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			c.writeResponse(r.Header.Get("Attempt"), "stored")
		}
	})
	pool := http1.NewPool(http1.Config{DialTimeout: dialTimeout, HeaderNames: savorystep.HeaderNames{AttemptID: "Attempt"}, TCPUserTimeout: 200 * time.Millisecond})
	for _, request := range []*http1.Request{newUpload("1"), newRequest("2"), newUpload("3")} {
		response, err := pool.Exchange(t.Context(), target, request)
		if err != nil {
			t.Fatalf("attempt %s: %v", request.AttemptID, err)
		}
		if string(response.Body) != "stored" {
			t.Errorf("attempt %s: body %q, want stored", request.AttemptID, response.Body)
		}
		response.Release()
	}
	if accepted.Load() != 1 {
		t.Errorf("endpoint accepted %d connections, want 1", accepted.Load())
	}
}
