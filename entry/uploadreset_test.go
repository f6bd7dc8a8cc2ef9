package entry_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"savorystep"
	"savorystep/entry"
)

// TestSendCutOff guards against a part of a response that is taken for a whole one, because
// the writer of the request took the error of the reset and the reader got an end of file.
func TestSendCutOff(t *testing.T) {
	alive := newFakeEntry(t)
	alive.firstEntries = []savorystep.Entry{{ID: "alive", Address: alive.address()}}
	served := alive.Config.Handler
	alive.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			served.ServeHTTP(w, r)
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
		time.Sleep(2 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	})
	client := entry.NewClient(entry.ClientConfig{Clock: savorystep.SystemClock{}, SeedAddresses: []savorystep.Address{alive.address()}, MaxAttempts: 1})
	defer client.Close()
	content := make([]byte, 8<<20)
	for n := range 100 {
		response, err := client.Send(t.Context(), entry.Request{
			ID: "request", Name: "status", Method: http.MethodPost, Path: "/", Timeout: time.Minute,
			Body: func() io.Reader { return bytes.NewReader(content) }, BodyLength: int64(len(content)),
		})
		if err == nil {
			t.Fatalf("request %d: body %q is taken for a whole response", n, response.Body)
		}
	}
}
