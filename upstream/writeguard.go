package upstream

import (
	"errors"
	"sync"
)

var (
	errPermitExpired = errors.New("permit expired before the first byte was sent")
	errCallerDone    = errors.New("deadline exceeded or caller gone before the first byte was sent")
	errResent        = errors.New("connection closed after the first byte was sent")
	errSealed        = errors.New("attempt ended before the first byte was sent")
)

// A writeGuard determines exactly whether a byte of a request was sent. Once it
// is sealed without a write, no write is permitted. Each call of a transport
// has its own guard.
type writeGuard struct {
	mu     sync.Mutex
	sealed bool
	sent   bool
	// answered is true once the endpoint has ended the request: its response is complete,
	// or says that the request was shed.
	answered bool
	// firstConn is the connection that the first byte was written to. Writes to
	// another connection fail, so that net/http cannot send the request again
	// by itself.
	firstConn *conn
	// precheck is called once, just before the first byte is written. Its error
	// prevents the write and is kept in precheckErr.
	precheck    func() error
	precheckErr error
}

// beforeWrite is called before each write to a connection. The first permitted
// call marks the request as sent.
func (w *writeGuard) beforeWrite(c *conn) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.sent {
		if w.firstConn != c {
			return errResent
		}
		return nil
	}
	if w.sealed {
		return errSealed
	}
	if err := w.precheck(); err != nil {
		w.precheckErr = err
		return err
	}
	w.sent = true
	w.firstConn = c
	return nil
}

// seal prevents a request that was not sent from being sent later. It reports
// whether a byte was sent before.
func (w *writeGuard) seal() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.sent {
		w.sealed = true
	}
	return w.sent
}

// precheckError returns the error that prevented the first write, or nil.
func (w *writeGuard) precheckError() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.precheckErr
}

// wasSent reports whether a byte was sent. It returns false for a nil guard.
func (w *writeGuard) wasSent() bool {
	if w == nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sent
}

// setAnswered records that the endpoint has ended the request.
func (w *writeGuard) setAnswered() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answered = true
}

// awaitsResponse reports whether a byte was sent and the endpoint has not ended the
// request.
func (w *writeGuard) awaitsResponse() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sent && !w.answered
}

// mayRunOn returns the connection on which the endpoint may still run the request, or nil.
func (w *writeGuard) mayRunOn() *conn {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.sent || w.answered || w.firstConn.closedByEndpoint.Load() {
		return nil
	}
	return w.firstConn
}

// isClosedByEndpoint reports whether the endpoint closed the connection that the first
// byte was written to.
func (w *writeGuard) isClosedByEndpoint() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.firstConn != nil && w.firstConn.closedByEndpoint.Load()
}
