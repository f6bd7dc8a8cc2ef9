package cmd

import (
	"context"
	"net"
	"time"

	"savorystep"
	"savorystep/operator"
)

// An instanceConfig configures an instance.
type instanceConfig struct {
	Clock     savorystep.Clock
	Settings  *operator.Settings
	Listeners listeners
	// ShutdownDelay is how long a leaving instance still accepts new requests;
	// 0 means the lifetime of lookups.
	ShutdownDelay time.Duration
	// DialPeer opens connections to peers; nil means plain TCP.
	DialPeer func(ctx context.Context, network, address string) (net.Conn, error)
	// WrapUpstreamConn wraps each new connection to an upstream; nil means no
	// wrapping.
	WrapUpstreamConn func(conn net.Conn, address string) net.Conn
}

// listeners are the open listeners of an instance.
type listeners struct {
	Caller   net.Listener
	Operator net.Listener
	Peer     net.Listener
}

// openListeners opens listeners on the addresses in the settings.
func openListeners(ctx context.Context, settings *operator.Settings) (listeners, error) {
	var opened listeners
	for _, l := range []struct {
		address savorystep.Address
		field   *net.Listener
	}{
		{address: settings.Instance.CallerAddress, field: &opened.Caller},
		{address: settings.Instance.OperatorAddress, field: &opened.Operator},
		{address: settings.Instance.PeerAddress, field: &opened.Peer},
	} {
		listener, err := listen(ctx, l.address)
		if err != nil {
			opened.close()
			return listeners{}, err
		}
		*l.field = listener
	}
	return opened, nil
}

// close closes the listeners that have been opened.
func (l listeners) close() {
	for _, listener := range []net.Listener{l.Caller, l.Operator, l.Peer} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// listen opens a TCP listener. The error has KindBadRequest.
func listen(ctx context.Context, address savorystep.Address) (net.Listener, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", string(address))
	if err != nil {
		return nil, savorystep.WrapError(savorystep.KindBadRequest, err, "listen on %s", address)
	}
	return listener, nil
}
