package store

import (
	"io"
	"net/http"
	"testing"
	"time"

	"savorystep"
)

// A registrationTransport confirms registrations. The first one stays open until its
// request is cancelled. The others are confirmed only then.
type registrationTransport struct {
	// first is the request of the first registration.
	first *http.Request
}

func (t *registrationTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response := &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: http.NoBody, Request: r}
	if t.first != nil {
		<-r.Context().Done()
		return response, nil
	}
	t.first = r
	reader, writer := io.Pipe()
	go func() {
		<-r.Context().Done()
		_ = writer.CloseWithError(r.Context().Err())
	}()
	response.Body = reader
	return response, nil
}

// TestRegistrationConfirmedLate guards against a registration that is confirmed while its
// request is cancelled, counts as open and closes the one that is, after which the platform
// lists the instance as ended.
func TestRegistrationConfirmedLate(t *testing.T) {
	client := NewClient(ClientConfig{Address: "platform", Timeout: time.Hour})
	transport := &registrationTransport{}
	client.registrar.http = &http.Client{Transport: transport}
	defer client.Close()
	if err := client.Register(t.Context(), savorystep.Instance{ID: "i"}); err != nil {
		t.Fatal(err)
	}
	client.config.Timeout = time.Millisecond
	err := client.Register(t.Context(), savorystep.Instance{ID: "i", State: savorystep.StateLeaving})
	if savorystep.KindOf(err) != savorystep.KindPlatformDown {
		t.Errorf("Register with a late confirmation = %v, want kind %v", err, savorystep.KindPlatformDown)
	}
	if err := transport.first.Context().Err(); err != nil {
		t.Errorf("the open registration was closed: %v", err)
	}
}
