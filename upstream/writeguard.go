package upstream

import (
	"errors"
	"sync"
)

var (
	errHoldExpired = errors.New("the permission to send expired before the first byte")
	errLate        = errors.New("the deadline passed before the first byte")
	errReplayed    = errors.New("the connection was closed after the first byte")
	errSealed      = errors.New("the attempt ended before the first byte")
)

// A sending decides exactly whether a byte of a request was sent. The first
// write and the end of a sending without a write exclude each other. Each call
// of a transport has its own.
type writeGuard struct {
	mu     sync.Mutex
	sealed bool
	sent   bool
	// carrier is the connection that the first byte went to. Another one
	// gets nothing, so that net/http cannot send the request again by itself.
	firstConn *conn
	// gate is asked once, just before the first byte.
	precheck    func() error
	precheckErr error
}

// beforeWrite is called before each write to a connection. The first one
// passes the gate and marks the request as sent.
func (s *writeGuard) beforeWrite(c *conn) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sent {
		if s.firstConn != c {
			return errReplayed
		}
		return nil
	}
	if s.sealed {
		return errSealed
	}
	if err := s.precheck(); err != nil {
		s.precheckErr = err
		return err
	}
	s.sent = true
	s.firstConn = c
	return nil
}

// seal keeps a request that was not sent from being sent later. It reports
// whether a byte was sent before.
func (s *writeGuard) seal() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.sent {
		s.sealed = true
	}
	return s.sent
}

// gateError returns the error that kept the first byte back, or nil.
func (s *writeGuard) precheckError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.precheckErr
}

// wasSent reports whether a byte was sent. A nil sending sent nothing.
func (s *writeGuard) wasSent() bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent
}
