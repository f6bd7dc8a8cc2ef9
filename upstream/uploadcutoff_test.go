package upstream_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"savorystep"
)

// addEarlyServer starts a server that responds to a request without reading its body, then
// calls end.
func (tb *testbed) addEarlyServer(response string, end func(*net.TCPConn)) {
	tb.t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(tb.t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		tb.t.Fatal(err)
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.WriteString(conn, response)
					end(conn.(*net.TCPConn))
				}
			}()
		}
	}()
	tb.t.Cleanup(func() { _ = listener.Close() })
	tb.registry.set(savorystep.Endpoint{
		ID: "a", Service: testService, Place: savorystep.Place{Region: "natal", Zone: "natal-a"},
		State: savorystep.StateLive, Address: savorystep.Address(listener.Addr().String()), Slots: 3,
	})
}

// TestUploadCutOff guards against a response that is cut off while the upload is being
// written and handed on as complete.
func TestUploadCutOff(t *testing.T) {
	endings := []struct {
		name string
		end  func(*net.TCPConn)
	}{
		{name: "reset", end: func(c *net.TCPConn) { _ = c.SetLinger(0) }},
		{name: "ended", end: func(c *net.TCPConn) { _ = c.CloseWrite() }},
		{name: "ended and reset", end: func(c *net.TCPConn) {
			_ = c.CloseWrite()
			_ = c.SetLinger(0)
		}},
	}
	responses := []struct{ name, wire string }{
		{name: "without a length", wire: "HTTP/1.1 200 OK\r\n\r\npart"},
		{name: "of HTTP/1.0", wire: "HTTP/1.0 200 OK\r\n\r\npart"},
		{name: "within a length", wire: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart"},
		{name: "within a chunk", wire: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\npart"},
		{name: "between chunks", wire: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"},
	}
	for _, size := range []int64{1 << 10, 64 << 10, 16 << 20} {
		content := make([]byte, size)
		for _, ending := range endings {
			for _, wire := range responses {
				t.Run(fmt.Sprintf("%d bytes, %s, %s", size, wire.name, ending.name), func(t *testing.T) {
					tb := newTestbed(t)
					tb.addEarlyServer(wire.wire, ending.end)
					p := tb.newPool(disableLoadPages)
					request := post("r1", "/x")
					request.Body, request.BodyLength = bytes.NewReader(content), size
					response, err := p.Forward(t.Context(), request)
					if err != nil {
						if savorystep.KindOf(err).Info().Execution != savorystep.ExecutionUnknown {
							t.Errorf("error %v, want one with unknown execution", err)
						}
						return
					}
					body, err := io.ReadAll(response.Body)
					if err == nil {
						t.Errorf("body %q is handed on as complete", body)
					}
					_ = response.Body.Close()
				})
			}
		}
	}
}
