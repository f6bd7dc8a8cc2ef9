package http1

import (
	"errors"
	"io"
	"strings"
	"testing"

	"savorystep"
)

// TestAttemptIDRejectsMismatchedResponse shows that only the check of the attempt
// id rejects a response to an earlier request: both responses on the connection
// are complete and valid.
func TestAttemptIDRejectsMismatchedResponse(t *testing.T) {
	wire := "HTTP/1.1 200 OK\r\nAttempt: earlier\r\nContent-Length: 7\r\n\r\nforeignHTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Length: 3\r\n\r\nown"
	config := Config{HeaderNames: savorystep.HeaderNames{AttemptID: "Attempt"}}.withDefaults()
	request := &Request{Method: "GET", Target: "/", AttemptID: "1"}
	unchecked, _, err := newConn(&scriptedConn{Reader: strings.NewReader(wire)}).readResponse(request, &config)
	if err != nil || string(unchecked.Body) != "foreign" {
		t.Errorf("without the check: response %+v, error %v, want body %q", unchecked, err, "foreign")
	}
	checked, persistent, err := newConn(&scriptedConn{Reader: strings.NewReader(wire)}).readMatchingResponse(request, &config)
	if err != nil || string(checked.Body) != "own" || persistent {
		t.Errorf("with the check: response %+v, persistent %v, error %v, want body %q and a connection that is not reused", checked, persistent, err, "own")
	}
}

// TestTruncatedBodyIsRejected shows that only the error at its end distinguishes a
// truncated body from a complete one, and that such a response is rejected.
func TestTruncatedBodyIsRejected(t *testing.T) {
	wire := "HTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Length: 10\r\n\r\nhalf"
	config := Config{HeaderNames: savorystep.HeaderNames{AttemptID: "Attempt"}}.withDefaults()
	request := &Request{Method: "GET", Target: "/", AttemptID: "1"}
	head, err := newConn(&scriptedConn{Reader: strings.NewReader(wire)}).readHead(request)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(head.Body)
	if string(body) != "half" || !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("body %q, error %v, want %q and %v", body, err, "half", io.ErrUnexpectedEOF)
	}
	if err := head.Body.Close(); err != nil {
		t.Error(err)
	}
	response, _, err := newConn(&scriptedConn{Reader: strings.NewReader(wire)}).readMatchingResponse(request, &config)
	if err == nil {
		t.Errorf("truncated response is accepted: %+v", response)
	}
}
