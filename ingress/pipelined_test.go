package ingress_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"savorystep"
	"savorystep/ingress"
)

// A deafDecoder reads no notices.
type deafDecoder struct{}

var _ savorystep.NoticeDecoder = deafDecoder{}

// DecodeNotice implements savorystep.NoticeDecoder.
func (deafDecoder) DecodeNotice(int, http.Header) (savorystep.EndpointNotice, error) {
	return savorystep.EndpointNotice{}, nil
}

// sendPipelined sends requests for several objects on one connection without waiting for
// responses, of which the first has the given outcome. Together they take longer than
// the backoff after a rejection. It returns how many of the requests the endpoint of the
// first one got, and how many were answered with 200.
func sendPipelined(t *testing.T, outcome string, decoder savorystep.NoticeDecoder, count int) (toFirst, answered int) {
	t.Helper()
	_, transport, router := newPatientProxy(t, outcome, "ok")
	transport.onExchange = func() { time.Sleep(15 * time.Millisecond) }
	proxy := ingress.NewProxy(ingress.ProxyConfig{
		Clock: savorystep.SystemClock{}, HeaderNames: names, Endings: ingress.NewEndings(&fakeFacts{}, router), Leavings: ingress.NewLeavings(&fakeFacts{}, router), Notices: decoder,
		Quarantine: ingress.NewQuarantine(&fakeFacts{}, nil), RateLimits: ingress.NewRateLimits(&fakeFacts{}, router), Transport: transport, Router: router,
	})
	_, address := startServer(t, proxy)
	c, reader := dial(t, address)
	for i := range count {
		if _, err := fmt.Fprintf(c, "GET /safe/%d HTTP/1.1\r\nHost: h\r\nAttempt: %d\r\nAffinity: object%d\r\n\r\n", i, i, i); err != nil {
			t.Fatal(err)
		}
	}
	for i := range count {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("read response %d: %v", i, err)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			answered++
		}
	}
	sent := transport.requests()
	return countRequestsTo(sent, sent[0].endpoint), answered
}

// TestNoticeBeforePipelinedRequests guards against requests that wait behind another one
// on a kept connection and go to its endpoint although the endpoint has said that it
// wants no more.
func TestNoticeBeforePipelinedRequests(t *testing.T) {
	const count = 20
	for _, outcome := range []string{"leaving", "leaving shed", "shed 30s"} {
		t.Run(outcome, func(t *testing.T) {
			toFirst, answered := sendPipelined(t, outcome, noticeDecoder{}, count)
			if toFirst != 1 || answered != count {
				t.Errorf("the endpoint got %d requests and %d of %d were answered with 200, want 1 and all", toFirst, answered, count)
			}
		})
	}
}

// TestNoticeBeforePipelinedRequestsCanFail shows that TestNoticeBeforePipelinedRequests
// can fail: a proxy that reads no notices.
func TestNoticeBeforePipelinedRequestsCanFail(t *testing.T) {
	for _, outcome := range []string{"leaving", "leaving shed", "shed 30s"} {
		if toFirst, _ := sendPipelined(t, outcome, deafDecoder{}, 20); toFirst <= 1 {
			t.Errorf("%s: the endpoint got %d requests, want more than 1", outcome, toFirst)
		}
	}
}
