package peer

import (
	"context"
	"crypto/subtle"

	"github.com/coder/websocket"

	"savorystep"
)

// check verifies a peer's hello.
func (e *Exchange) check(hello *helloFrame) error {
	if subtle.ConstantTimeCompare(hello.Secret, e.secret[:]) != 1 {
		return savorystep.NewError(savorystep.KindUnauthorized, "wrong secret")
	}
	if hello.Version != protocolVersion {
		return savorystep.NewError(savorystep.KindBadRequest, "protocol version %d, want %d", hello.Version, protocolVersion)
	}
	if hello.Instance.ID == e.config.Self.ID {
		return errSelf
	}
	return nil
}

// refuse closes a connection with the reason.
func (e *Exchange) refuse(conn *websocket.Conn, err error) {
	e.mu.Lock()
	e.stats.RejectedFrames++
	e.mu.Unlock()
	code := closeBadFrame
	if savorystep.KindOf(err) == savorystep.KindUnauthorized {
		code = closeRefused
	}
	_ = conn.Close(code, shorten(err.Error()))
}

func (e *Exchange) sendHello(ctx context.Context, conn *websocket.Conn, to savorystep.InstanceID) error {
	e.mu.Lock()
	hello := &helloFrame{Version: protocolVersion, Instance: e.config.Self, Secret: e.secret[:], Suspected: e.store.suspectedSequence(to)}
	e.mu.Unlock()
	data, err := frames.Encode(frame{Stamp: e.config.HLC.Now(), Hello: hello})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTime)
	defer cancel()
	return conn.Write(ctx, websocket.MessageBinary, data)
}

func (e *Exchange) readHello(ctx context.Context, conn *websocket.Conn) (*helloFrame, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTime)
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
		return nil, savorystep.NewError(savorystep.KindBadRequest, "first frame is not a hello")
	}
	if subtle.ConstantTimeCompare(f.Hello.Secret, e.secret[:]) == 1 {
		e.config.HLC.Observe(f.Stamp)
	}
	return f.Hello, nil
}
