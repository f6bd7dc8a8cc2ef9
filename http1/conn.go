package http1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"savorystep"
)

const (
	// maxMismatchedResponses bounds the responses to other requests that are read
	// before the connection is given up.
	maxMismatchedResponses = 4
	// maxInlineBodyBytes is the largest body that is written before the response
	// is read. It fits the smallest send buffers, so that the write cannot block
	// on an endpoint that responds without reading the body.
	maxInlineBodyBytes = 4 << 10
	// uploadTCPUserTimeout replaces Config.TCPUserTimeout while a large body is sent. The
	// kernel also applies it to a peer that acknowledges its probes but has a full receive
	// window, as an endpoint does that works on a part of the body before it reads on. It
	// is as long as the longest deadline of callers, which ends the exchange before.
	uploadTCPUserTimeout = 30 * time.Second
)

// A conn is a connection to an endpoint. It carries one request at a time.
type conn struct {
	net.Conn
	reader     *bufio.Reader
	headReader *headLimitReader
	openedAt   time.Time
	// idleSince is when the last response was read.
	idleSince time.Time
	// idleTimeout is how long the connection may stay idle. Zero means the pool's
	// default.
	idleTimeout time.Duration
	// isReused is true once the connection has carried a complete exchange.
	isReused bool
}

// newConn wraps a newly opened connection.
func newConn(opened net.Conn) *conn {
	limit := &headLimitReader{Reader: opened}
	return &conn{Conn: opened, openedAt: time.Now(), headReader: limit, reader: bufio.NewReaderSize(limit, readBufferBytes)}
}

// isUsable reports whether an idle connection is still open and has received
// nothing. Bytes that arrive while no request is in flight belong to no request,
// so the connection must not be used again.
func (c *conn) isUsable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	syscallConn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	isEmpty := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, err := syscall.Read(int(fd), buf[:]) //nolint:gosec // Descriptors are small.
		isEmpty = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && isEmpty
}

// reset closes the connection with a TCP reset, which discards unsent bytes.
// After a normal close, the kernel would still deliver them when a network
// partition heals, and the endpoint would run the request long after it was
// abandoned.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		if err := tcp.SetLinger(0); err != nil {
			log.Debugf("set connection to %s to reset on close: %v", c.RemoteAddr(), err)
		}
	}
	_ = c.Close()
}

// setTCPUserTimeout sets how long sent bytes may remain unacknowledged.
func (c *conn) setTCPUserTimeout(timeout time.Duration) {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err == nil {
		err = setTCPUserTimeout(raw, timeout)
	}
	if err != nil {
		log.Debugf("set TCP_USER_TIMEOUT of the connection to %s to %v: %v", c.RemoteAddr(), timeout, err)
	}
}

// exchange sends a request and reads its response. It returns true if the
// connection can carry another request.
func (c *conn) exchange(ctx context.Context, request *Request, config *Config) (*Response, bool, error) {
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	isNew := !c.isReused
	head := appendHead(make([]byte, 0, 1024), request)
	var bodyWritten chan error
	if len(request.Body) <= maxInlineBodyBytes {
		if n, err := c.Write(append(head, request.Body...)); err != nil {
			return nil, false, c.newExchangeError(ctx, stageAfterWrite(n), isNew, err)
		}
	} else {
		if n, err := c.Write(head); err != nil {
			return nil, false, c.newExchangeError(ctx, stageAfterWrite(n), isNew, err)
		}
		c.setTCPUserTimeout(uploadTCPUserTimeout)
		bodyWritten = make(chan error, 1)
		go func() {
			_, err := c.Write(request.Body)
			bodyWritten <- err
		}()
	}
	response, persistent, err := c.readMatchingResponse(request, config)
	if bodyWritten != nil {
		isWritten, writeErr := c.finishBodyWrite(bodyWritten)
		persistent = persistent && isWritten
		if isConnBroken(writeErr) {
			c.headReader.endErr = writeErr
			err = errorOfBrokenConn(response, err, writeErr)
		}
	}
	if err != nil {
		return nil, false, c.finishExchangeError(ctx, isNew, err)
	}
	c.isReused = true
	if bodyWritten != nil && persistent {
		c.setTCPUserTimeout(config.TCPUserTimeout)
	}
	return response, persistent && stop(), nil
}

// finishBodyWrite ends the goroutine that writes the body. It reports whether the whole
// body is written, and returns the error of the write. If it is not, the endpoint still
// expects the rest of the body, so the connection can't carry another request.
func (c *conn) finishBodyWrite(bodyWritten <-chan error) (bool, error) {
	select {
	case err := <-bodyWritten:
		return err == nil, err
	default:
	}
	// The endpoint may have the whole body although the goroutine has not reported it yet.
	_ = c.SetDeadline(time.Unix(1, 0))
	err := <-bodyWritten
	isWritten := err == nil && c.SetDeadline(time.Time{}) == nil
	return isWritten, err
}

// isConnBroken reports whether the error of a write shows that the connection broke
// before the endpoint closed its side. The kernel reports a reset or a timeout to one
// call only: if that was the write, the reader gets an end of file instead. A write
// after the endpoint closed its side fails with EPIPE, and one that was still waiting
// with os.ErrDeadlineExceeded.
func isConnBroken(writeErr error) bool {
	return writeErr != nil && !errors.Is(writeErr, syscall.EPIPE) && !errors.Is(writeErr, os.ErrDeadlineExceeded)
}

// errorOfBrokenConn returns the error of an exchange on a connection that broke, as the
// write of the body reported, and whose reader returned response or readErr. It returns
// nil if the response is complete all the same.
func errorOfBrokenConn(response *Response, readErr, writeErr error) error {
	var exchangeErr *ExchangeError
	switch {
	case readErr == nil && !response.isUnframed:
		return nil
	case readErr == nil:
		response.Release()
		return &ExchangeError{Stage: StageSent, Cause: fmt.Errorf("response without a length, connection broken: %w", writeErr)}
	case isClosedByPeer(readErr) && errors.As(readErr, &exchangeErr):
		// The reader's end of file says only that the connection broke.
		exchangeErr.Cause = writeErr
	}
	return readErr
}

// stageAfterWrite returns the stage of a write that failed after n bytes.
func stageAfterWrite(n int) Stage {
	if n == 0 {
		return StageUnsent
	}
	return StageSent
}

// newExchangeError returns an ExchangeError. If ctx has ended, its cause replaces
// err.
func (c *conn) newExchangeError(ctx context.Context, stage Stage, isNew bool, err error) error {
	return c.finishExchangeError(ctx, isNew, &ExchangeError{Stage: stage, Cause: err})
}

// finishExchangeError completes the error of an exchange that failed after its
// connection was opened. If ctx has ended, its cause replaces that of the error.
func (c *conn) finishExchangeError(ctx context.Context, isNew bool, err error) error {
	var exchangeErr *ExchangeError
	if !errors.As(err, &exchangeErr) {
		exchangeErr = &ExchangeError{Stage: StageSent, Cause: err}
	}
	exchangeErr.NewConnection = isNew
	if cause := context.Cause(ctx); cause != nil {
		exchangeErr.Cause = cause
		return exchangeErr
	}
	exchangeErr.ClosedByEndpoint = isClosedByPeer(exchangeErr.Cause) || isClosedByPeer(c.headReader.endErr)
	return exchangeErr
}

// isClosedByPeer reports whether an error says that the peer ended the connection. A
// connection that timed out or was cut was not ended by the peer.
func isClosedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// readMatchingResponse reads responses until one has the attempt id of request, and
// discards the others. A refusal without an attempt id may be a copy of an earlier
// one. It returns true if the connection can be used again.
func (c *conn) readMatchingResponse(request *Request, config *Config) (*Response, bool, error) {
	inSync := true
	for range maxMismatchedResponses {
		response, persistent, err := c.readResponse(request, config)
		if err != nil {
			return nil, false, err
		}
		ids := response.Header.Values(config.HeaderNames.AttemptID)
		if belongsTo(ids, request.AttemptID) {
			return response, inSync && persistent && c.reader.Buffered() == 0, nil
		}
		response.Release()
		if !persistent {
			return nil, false, &ExchangeError{Stage: StageSent, Cause: savorystep.NewError(savorystep.KindUpstreamFailed, "answer to %q", ids)}
		}
		// Further responses on this connection may be mismatched, too.
		inSync = false
	}
	return nil, false, &ExchangeError{Stage: StageSent, Cause: savorystep.NewError(savorystep.KindUpstreamFailed, "%d answers to other requests", maxMismatchedResponses)}
}

// belongsTo reports whether a response with the given attempt ids is the one to a
// request. A response that has several is made up of two: the head of the first one
// ended early, and that of the second one was read as its continuation.
func belongsTo(ids []string, request savorystep.RequestID) bool {
	switch len(ids) {
	case 0:
		return request == ""
	case 1:
		return ids[0] == string(request)
	default:
		return false
	}
}

// readResponse reads one response with its body. It returns false if the
// connection must not be used again.
func (c *conn) readResponse(request *Request, config *Config) (*Response, bool, error) {
	head, err := c.readHead(request)
	if err != nil {
		return nil, false, &ExchangeError{Stage: StageSent, Cause: err}
	}
	response := &Response{Status: head.StatusCode, Header: head.Header, ConnOpenedAt: c.openedAt, reservation: config.ResponseBudget.NewReservation()}
	if err := response.readBody(head, config.MaxResponseBytes); err != nil {
		// The body is not closed, because closing reads it to its end.
		response.Release()
		budgetExceeded := errors.Is(err, ErrBudgetExceeded)
		return nil, false, &ExchangeError{Stage: StageSent, BudgetExceeded: budgetExceeded, Cause: err}
	}
	c.idleTimeout = keepAliveTimeout(head.Header)
	return response, !head.Close && !statesForbiddenBody(head), nil
}

// statesForbiddenBody reports whether a response with a status that allows no body states
// one, which may follow. A status 304 states the body of another response.
func statesForbiddenBody(head *http.Response) bool {
	length := head.Header.Get("Content-Length")
	return head.StatusCode == http.StatusNoContent && (len(head.TransferEncoding) > 0 || length != "" && length != "0")
}

// readHead reads the status line and header of a response. It skips interim responses.
func (c *conn) readHead(request *Request) (*http.Response, error) {
	c.headReader.startHead(c.reader.Buffered())
	defer c.headReader.endHead()
	for {
		buffered, _ := c.reader.Peek(c.reader.Buffered())
		c.headReader.startMessage(buffered)
		head, err := http.ReadResponse(c.reader, &http.Request{Method: request.Method}) //nolint:bodyclose // readBody reads it to its end and closes it.
		if err != nil {
			return nil, err
		}
		if hasSecondStatusLine(head) {
			return nil, savorystep.NewError(savorystep.KindUpstreamFailed, "head of the answer has a second status line, the first one is %.60q", head.Status)
		}
		if err := checkHead(head); err != nil {
			return nil, err
		}
		if !head.ProtoAtLeast(1, 1) && c.headReader.hasOldTransferEncoding() {
			return nil, savorystep.NewError(savorystep.KindUpstreamFailed, "answer of %s has a Transfer-Encoding", head.Proto)
		}
		if isSkippedInterim(head.StatusCode) {
			continue
		}
		if err := CheckFinalStatus(head.StatusCode); err != nil {
			return nil, err
		}
		return head, nil
	}
}

// statusLineStart matches the start of a status line.
var statusLineStart = regexp.MustCompile(`HTTP/[0-9]\.[0-9] [0-9]{3}`)

// hasSecondStatusLine reports whether a head is made up of those of two responses: the
// first one ended within a line, and the status line of the second one completed it.
func hasSecondStatusLine(head *http.Response) bool {
	isStatusLine := func(text string) bool {
		return strings.Contains(text, "HTTP/") && statusLineStart.MatchString(text)
	}
	if isStatusLine(head.Status) {
		return true
	}
	for _, values := range head.Header {
		if slices.ContainsFunc(values, isStatusLine) {
			return true
		}
	}
	return false
}

// keepAliveTimeout returns how long a connection may stay idle by the timeout
// that the endpoint states in its Keep-Alive header, zero if it states none.
func keepAliveTimeout(header http.Header) time.Duration {
	for parameter := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(parameter), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(text); err == nil && seconds > 0 {
			return max(time.Duration(seconds)*time.Second-idleTimeoutMargin, time.Millisecond)
		}
	}
	return 0
}

// appendHead appends the request line and header of r to b.
func appendHead(b []byte, r *Request) []byte {
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	for name, values := range r.Header {
		for _, value := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, value...)
			b = append(b, "\r\n"...)
		}
	}
	if r.HasBody {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.Body)), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}
