package peer

import (
	"context"
	"crypto/subtle"

	"github.com/coder/websocket"

	"savorystep"
)

// checkHello verifies the secret, the protocol version and the instance ID of a
// peer's hello frame.
func (e *Exchange) checkHello(hello *helloFrame) error {
	if subtle.ConstantTimeCompare(hello.SecretHash, e.secretHash[:]) != 1 {
		return savorystep.NewError(savorystep.KindUnauthorized, "hello frame has a wrong secret")
	}
	if hello.Version != protocolVersion {
		return savorystep.NewError(savorystep.KindBadRequest, "hello frame has protocol version %d, want %d", hello.Version, protocolVersion)
	}
	if hello.Instance.ID == e.config.Self.ID {
		return errSelf
	}
	return nil
}

// rejectConn closes a connection with an error as the reason.
func (e *Exchange) rejectConn(conn *websocket.Conn, err error) {
	e.mu.Lock()
	e.stats.RejectedFrames++
	e.mu.Unlock()
	code := closeBadFrame
	if savorystep.KindOf(err) == savorystep.KindUnauthorized {
		code = closeUnauthorized
	}
	_ = conn.Close(code, truncateReason(err.Error()))
}

// sendHello sends a hello frame to an instance.
func (e *Exchange) sendHello(ctx context.Context, conn *websocket.Conn, id savorystep.InstanceID) error {
	e.mu.Lock()
	hello := &helloFrame{Version: protocolVersion, Instance: e.config.Self, SecretHash: e.secretHash[:], SuspectedSequence: e.store.suspectedSequence(id)}
	e.mu.Unlock()
	data, err := frameCodec.Encode(frame{Timestamp: e.config.HLC.Now(), Hello: hello})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	return conn.Write(ctx, websocket.MessageBinary, data)
}

// readHello reads the hello frame of a peer. It observes the timestamp of the
// frame only if the secret is right.
func (e *Exchange) readHello(ctx context.Context, conn *websocket.Conn) (*helloFrame, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	_, data, err := conn.Read(ctx)
	if err != nil {
		return nil, err
	}
	f, err := decodeFrame(data)
	if err != nil {
		return nil, err
	}
	if f.Hello == nil {
		return nil, savorystep.NewError(savorystep.KindBadRequest, "first frame is not a hello frame")
	}
	if subtle.ConstantTimeCompare(f.Hello.SecretHash, e.secretHash[:]) == 1 {
		e.config.HLC.Observe(f.Timestamp)
	}
	return f.Hello, nil
}
