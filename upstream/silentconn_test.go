package upstream_test

import (
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"savorystep"
	"savorystep/upstream"
)

// A pausingRecorder pauses the pool's periodic check at the first ejection.
type pausingRecorder struct {
	once    sync.Once
	reached chan struct{}
	resume  chan struct{}
}

func (r *pausingRecorder) Events() []savorystep.Event { return nil }

func (r *pausingRecorder) Record(event savorystep.Event) {
	if event.Kind == savorystep.EventEject {
		r.once.Do(func() {
			close(r.reached)
			<-r.resume
		})
	}
}

// TestResponseBeginsBeforeSilentCancel guards against a response that begins after its
// connection was found silent, reaches the caller and is then cut off.
func TestResponseBeginsBeforeSilentCancel(t *testing.T) {
	for _, request := range []*savorystep.Request{get("idempotent", "/x"), post("at-most-once", "/x")} {
		t.Run(string(request.ID), func(t *testing.T) {
			tb := newTestbed(t)
			begin, finish := make(chan struct{}), make(chan struct{})
			tb.addRawServer(func(conn net.Conn, _, overall int) bool {
				if overall > 1 {
					return false
				}
				<-begin
				isWritten := writeRaw(conn, "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n")
				<-finish
				return isWritten && writeRaw(conn, strings.Repeat("x", 100000))
			})
			recorder := &pausingRecorder{reached: make(chan struct{}), resume: make(chan struct{})}
			observer := tb.factBus.join("observer")
			p := tb.newPool(func(config *upstream.Config) {
				config.Recorder = recorder
				config.Limits.LoadPageInterval = -1
				config.Limits.ProgressTimeout = 50 * time.Millisecond
				config.Limits.Health.ConsecutiveFailures = 1
			})
			go func() {
				<-recorder.reached
				close(begin)
			}()
			response, err := p.Forward(t.Context(), request)
			close(recorder.resume)
			// The check publishes the ejection after it has dealt with the attempt.
			tb.eventually("the check has ended", func() bool { return len(observer.Facts(savorystep.FactHealth)) > 0 })
			close(finish)
			if err != nil {
				t.Fatal(err)
			}
			if n := len(readAll(t, response)); n != 100000 {
				t.Errorf("response has %d bytes, want 100000", n)
			}
		})
	}
}
