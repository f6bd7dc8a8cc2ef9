package store

import (
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"savorystep"
)

// A silentTransport counts requests that get no response.
type silentTransport struct {
	requests atomic.Int64
}

func (t *silentTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	t.requests.Add(1)
	<-r.Context().Done()
	return nil, r.Context().Err()
}

// TestSilentRegistrationsAreFew guards against an instance that opens connections without
// end, and in the end has no descriptors left, while the platform accepts them and does not
// answer.
func TestSilentRegistrationsAreFew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := NewClient(ClientConfig{Address: "platform", Timeout: 2 * time.Second})
		transport := &silentTransport{}
		client.registrar.http = &http.Client{Transport: transport}
		if err := client.Register(t.Context(), savorystep.Instance{ID: "i"}); savorystep.KindOf(err) != savorystep.KindPlatformDown {
			t.Errorf("Register without an answer = %v, want kind %v", err, savorystep.KindPlatformDown)
		}
		time.Sleep(time.Hour)
		synctest.Wait()
		if got := transport.requests.Load(); got < 2 || got > 20 {
			t.Errorf("%d connections after an hour, want 2 to 20", got)
		}
		client.Close()
	})
}
