package upstream_test

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"

	"savorystep"
)

// TestInvalidStatus guards against a response with a status that HTTP doesn't have, or that
// nothing asked for, that is handed on: a status below 100 can't be written to the caller,
// and the body of a response with status 101 is a connection that no deadline ends.
func TestInvalidStatus(t *testing.T) {
	switched := "101 Switching Protocols\r\nUpgrade: other\r\nConnection: Upgrade"
	for _, test := range []struct {
		name, status string
		method       func(savorystep.RequestID, string) *savorystep.Request
		want         savorystep.Kind
	}{
		{name: "000", status: "000 Nothing", method: get, want: savorystep.KindUpstreamFailed},
		{name: "000 at most once", status: "000 Nothing", method: post, want: savorystep.KindOutcomeUnknown},
		{name: "099", status: "099 Less", method: get, want: savorystep.KindUpstreamFailed},
		{name: "101", status: "101 Switching Protocols", method: get, want: savorystep.KindUpstreamFailed},
		{name: "101 with the headers of a switch", status: switched, method: get, want: savorystep.KindUpstreamFailed},
		{name: "101 at most once", status: switched, method: post, want: savorystep.KindOutcomeUnknown},
		{name: "600", status: "600 More", method: get, want: savorystep.KindUpstreamFailed},
		{name: "999", status: "999 Most", method: get, want: savorystep.KindUpstreamFailed},
	} {
		t.Run(test.name, func(t *testing.T) {
			tb := newTestbed(t)
			var onConnection atomic.Int64
			tb.addRawServer(func(conn net.Conn, onConn, overall int) bool {
				onConnection.Store(int64(onConn))
				if overall == 1 {
					return writeRaw(conn, fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n", test.status))
				}
				return writeRaw(conn, rawOK)
			})
			p := tb.newPool(disableLoadPages)
			response, err := p.Forward(t.Context(), test.method("r1", "/x"))
			if err == nil {
				t.Fatalf("response with status %d is handed on", response.Status)
			}
			wantError(t, err, test.want)
			if response, err = p.Forward(t.Context(), get("r2", "/x")); err != nil {
				t.Fatal(err)
			}
			if body := readAll(t, response); body != "ok" {
				t.Errorf("body %q, want ok", body)
			}
			if onConnection.Load() != 1 {
				t.Error("the connection of the response with an invalid status was used again")
			}
		})
	}
}
