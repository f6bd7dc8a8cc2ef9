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
	// ShutdownDelay is how long a stop still takes new requests; 0 means the
	// lifetime of lookups.
	ShutdownDelay time.Duration
	// DialPeer opens connections to peers; nil means plain TCP.
	DialPeer func(ctx context.Context, network, address string) (net.Conn, error)
	// WrapUpstreamConn wraps connections to upstreams; nil means none.
	WrapUpstreamConn func(made net.Conn, address string) net.Conn
}

// Listeners are the open listeners of an instance.
type listeners struct {
	Caller   net.Listener
	Operator net.Listener
	Peer     net.Listener
}

// openListeners opens the listeners that the settings name.
func openListeners(ctx context.Context, settings *operator.Settings) (listeners, error) {
	var opened listeners
	for _, l := range []struct {
		address savorystep.Address
		to      *net.Listener
	}{
		{address: settings.Instance.CallerAddress, to: &opened.Caller},
		{address: settings.Instance.OperatorAddress, to: &opened.Operator},
		{address: settings.Instance.PeerAddress, to: &opened.Peer},
	} {
		listener, err := listen(ctx, l.address)
		if err != nil {
			opened.close()
			return listeners{}, err
		}
		*l.to = listener
	}
	return opened, nil
}

// close closes the listeners that are open.
func (l listeners) close() {
	for _, listener := range []net.Listener{l.Caller, l.Operator, l.Peer} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// listen opens a TCP listener.
func listen(ctx context.Context, address savorystep.Address) (net.Listener, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", string(address))
	if err != nil {
		return nil, savorystep.WrapError(savorystep.KindBadRequest, err, "can't listen on %s", address)
	}
	return listener, nil
}
