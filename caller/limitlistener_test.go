package caller_test

import (
	"io"
	"net"
	"syscall"
	"testing"

	"savorystep/caller"
)

// TestLimitedConnIsTCP guards against a limit that hides from the server what it needs of a
// TCP connection: to look for a request that has arrived before it closes an idle one, and
// to end the writing side so that the last response isn't lost by a reset.
func TestLimitedConnIsTCP(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	limited := caller.NewLimitListener(listener, 1)
	defer func() { _ = limited.Close() }()
	client, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	conn, err := limited.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if raw, ok := conn.(syscall.Conn); !ok {
		t.Error("accepted connection has no SyscallConn")
	} else if _, err := raw.SyscallConn(); err != nil {
		t.Errorf("SyscallConn of an accepted connection: %v", err)
	}
	half, ok := conn.(interface{ CloseWrite() error })
	if !ok {
		t.Fatal("accepted connection has no CloseWrite")
	}
	if err := half.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if _, err := client.Read(make([]byte, 1)); err != io.EOF { //nolint:errorlint // A reader returns io.EOF itself.
		t.Errorf("client reads %v, want %v", err, io.EOF)
	}
}
