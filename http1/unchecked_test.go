package http1

import (
	"errors"
	"io"
	"strings"
	"testing"

	"savorystep"
)

// TestForeignNeedsCheck shows that the attempt id alone keeps an answer to an
// earlier request from the next caller: on the wire both are whole and in order.
func TestForeignNeedsCheck(t *testing.T) {
	wire := "HTTP/1.1 200 OK\r\nAttempt: earlier\r\nContent-Length: 7\r\n\r\nforeignHTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Length: 3\r\n\r\nown"
	config := Config{HeaderNames: savorystep.HeaderNames{AttemptID: "Attempt"}}.withDefaults()
	request := &Request{Method: "GET", Target: "/", AttemptID: "1"}
	unchecked, _, err := newConn(&scriptedConn{Reader: strings.NewReader(wire)}).read(request, &config)
	if err != nil || string(unchecked.Body) != "foreign" {
		t.Errorf("without the check: %+v, %v", unchecked, err)
	}
	checked, keep, err := newConn(&scriptedConn{Reader: strings.NewReader(wire)}).answer(request, &config)
	if err != nil || string(checked.Body) != "own" || keep {
		t.Errorf("with the check: %+v, connection kept %v, %v", checked, keep, err)
	}
}

// TestHalfNeedsCheck shows that a half body can be told from a whole one by the
// error of its end alone.
func TestHalfNeedsCheck(t *testing.T) {
	wire := "HTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Length: 10\r\n\r\nhalf"
	config := Config{HeaderNames: savorystep.HeaderNames{AttemptID: "Attempt"}}.withDefaults()
	request := &Request{Method: "GET", Target: "/", AttemptID: "1"}
	head, err := newConn(&scriptedConn{Reader: strings.NewReader(wire)}).readHead(request)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(head.Body)
	if string(body) != "half" || !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("body %q, %v", body, err)
	}
	if err := head.Body.Close(); err != nil {
		t.Error(err)
	}
	response, _, err := newConn(&scriptedConn{Reader: strings.NewReader(wire)}).answer(request, &config)
	if err == nil {
		t.Errorf("a half answer is taken for a whole one: %+v", response)
	}
}
