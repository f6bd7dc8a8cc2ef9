package store_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"savorystep"
)

// TestCommitCutOff guards against a part of a response that is taken for a whole one,
// because the writer of the request took the error of the reset and the reader got an end
// of file.
func TestCommitCutOff(t *testing.T) {
	client := newHandlerClient(t, func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n{\"version\":7}")
		time.Sleep(2 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	})
	txn := savorystep.Txn{Writes: []savorystep.Write{{Key: "k", Value: make([]byte, 8<<20)}}}
	for n := range 100 {
		if result, err := client.Commit(t.Context(), txn); err == nil {
			t.Fatalf("commit %d: %+v is taken for a whole response", n, result)
		}
	}
}
