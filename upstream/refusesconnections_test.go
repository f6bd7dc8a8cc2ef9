package upstream_test

import (
	"fmt"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"savorystep"
	"savorystep/upstream"
)

// TestRefusesConnections guards against an endpoint that can't be reached, because its
// link is cut or its queue of connections is full, and is taken for one that crashed.
func TestRefusesConnections(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := savorystep.Address(listener.Addr().String())
	if upstream.RefusesConnections(t.Context(), address) {
		t.Error("an address with a listener refuses connections")
	}
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	if !upstream.RefusesConnections(t.Context(), address) {
		t.Error("an address without a listener doesn't refuse connections")
	}
	if upstream.RefusesConnections(t.Context(), fullListener(t)) {
		t.Error("an address that doesn't respond refuses connections")
	}
}

// fullListener returns an address whose listener has no room for connections, so that the
// kernel drops the opening packets.
func fullListener(t *testing.T) savorystep.Address {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = unix.Close(fd) })
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := unix.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	bound, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	inet, ok := bound.(*unix.SockaddrInet4)
	if !ok {
		t.Fatalf("socket address %T, want IPv4", bound)
	}
	address := fmt.Sprintf("127.0.0.1:%d", inet.Port)
	for range 3 {
		c, err := (&net.Dialer{Timeout: 50 * time.Millisecond}).DialContext(t.Context(), "tcp", address)
		if err != nil {
			break
		}
		t.Cleanup(func() { _ = c.Close() })
	}
	return savorystep.Address(address)
}
