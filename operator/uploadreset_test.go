package operator_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"savorystep"
	"savorystep/operator"
)

// TestChangeCutOff guards against a response that a server resets within the upload of a
// change and that counts as whole, or as an answer that ends the search for another server,
// because the writer of the request took the error of the reset.
func TestChangeCutOff(t *testing.T) {
	for _, test := range []struct{ name, body string }{
		{name: "part of the outcome", body: `{"revision": 7`},
		{name: "bytes of an outcome", body: `{}`},
	} {
		t.Run(test.name, func(t *testing.T) {
			resetting := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+test.body)
				time.Sleep(2 * time.Millisecond)
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			}))
			defer resetting.Close()
			client := operator.NewClient(operator.ClientConfig{Servers: []string{resetting.URL}, Token: "t", AttemptTimeout: time.Minute})
			request := operator.ApplyRequest{ChangeInfo: operator.ChangeInfo{Note: strings.Repeat("a", 8<<20)}}
			for n := range 50 {
				outcome, err := client.Apply(t.Context(), request)
				if savorystep.KindOf(err) != savorystep.KindNotReady {
					t.Fatalf("change %d: outcome %+v, error %v, want an error of kind %v", n, outcome, err, savorystep.KindNotReady)
				}
			}
		})
	}
}
