package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"savorystep"
)

const (
	// maxForeign bounds the answers to earlier requests that are skipped.
	maxForeign = 4
	// inlineBody is the largest body that is written before the answer is
	// read. It fits the smallest send buffers, so that the write cannot wait
	// for an endpoint that answers without reading.
	inlineBody = 4 << 10
)

// A conn is a connection to an endpoint. It carries one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	limit  *headLimit
	// idleSince is when the last answer was read.
	idleSince time.Time
	// keep is how long the connection may be idle.
	keep time.Duration
	// used is true after the first answer.
	used bool
}

// newConn returns a connection that has carried nothing yet.
func newConn(opened net.Conn) *conn {
	limit := &headLimit{Reader: opened}
	return &conn{Conn: opened, limit: limit, reader: bufio.NewReaderSize(limit, readBuffer)}
}

// isSilent reports whether an idle connection has neither ended nor received
// bytes. Bytes that no request asked for belong to nobody.
func (c *conn) isSilent() bool {
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
	silent := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, err := syscall.Read(int(fd), one[:]) //nolint:gosec // Descriptors are small.
		silent = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && silent
}

// reset ends the connection so that bytes which are still under way are
// dropped. After a plain close, a link that was cut would deliver them when it
// heals, and the request would run long after it was given up.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		if err := tcp.SetLinger(0); err != nil {
			log.Debugf("reset of a connection to %s: %v", c.RemoteAddr(), err)
		}
	}
	_ = c.Close()
}

// exchange sends a request and reads its answer. The second result is true if
// the connection can carry another request.
func (c *conn) exchange(ctx context.Context, request *Request, config *Config) (*Response, bool, error) {
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	fresh := !c.used
	head := appendHead(make([]byte, 0, 1024), request)
	var written chan error
	if len(request.Body) <= inlineBody {
		if n, err := c.Write(append(head, request.Body...)); err != nil {
			return nil, false, c.failure(ctx, stageAfter(n), fresh, err)
		}
	} else {
		if n, err := c.Write(head); err != nil {
			return nil, false, c.failure(ctx, stageAfter(n), fresh, err)
		}
		written = make(chan error, 1)
		go func() {
			_, err := c.Write(request.Body)
			written <- err
		}()
	}
	response, keep, err := c.answer(request, config)
	if written != nil {
		keep = c.settle(written, err == nil) && keep
	}
	if err != nil {
		var failure *ExchangeError
		if errors.As(err, &failure) {
			failure.NewConnection = fresh
			if cause := context.Cause(ctx); cause != nil {
				failure.InvalidResponse, failure.Cause = false, cause
			}
			return nil, false, failure
		}
		return nil, false, c.failure(ctx, StageSent, fresh, err)
	}
	c.used = true
	return response, keep && stop(), nil
}

// settle waits for the end of writing a body. It reports whether the whole
// body had been written when the answer came: an endpoint that answers earlier
// still expects the rest of the body on the connection.
func (c *conn) settle(written <-chan error, answered bool) bool {
	if answered {
		select {
		case err := <-written:
			return err == nil
		default:
		}
	}
	_ = c.SetDeadline(time.Unix(1, 0))
	if err := <-written; err != nil {
		return false
	}
	return false
}

// stageAfter returns the stage of a failed write of which n bytes left.
func stageAfter(n int) Stage {
	if n == 0 {
		return StageUnsent
	}
	return StageSent
}

// failure returns a failure, with the context's cause if that ended.
func (c *conn) failure(ctx context.Context, stage Stage, fresh bool, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	return &ExchangeError{Stage: stage, NewConnection: fresh, Cause: err}
}

// answer reads the answer to a request and skips answers to earlier ones.
func (c *conn) answer(request *Request, config *Config) (*Response, bool, error) {
	keep := true
	for range maxForeign {
		response, framed, err := c.read(request, config)
		if err != nil {
			return nil, false, err
		}
		id := response.Header.Get(config.HeaderNames.AttemptID)
		if id == string(request.AttemptID) || (id == "" && isUnnamed(response, config.HeaderNames.NotExecuted)) {
			return response, keep && framed && c.reader.Buffered() == 0, nil
		}
		response.Release()
		if !framed {
			return nil, false, &ExchangeError{Stage: StageSent, InvalidResponse: true, Cause: savorystep.NewError(savorystep.KindUpstreamFailed, "answer to %q", id)}
		}
		// The connection is out of step with its requests.
		keep = false
	}
	return nil, false, &ExchangeError{Stage: StageSent, InvalidResponse: true, Cause: savorystep.NewError(savorystep.KindUpstreamFailed, "%d answers to other requests", maxForeign)}
}

// isUnnamed reports whether an answer needs no attempt id: endpoints refuse
// without one.
func isUnnamed(response *Response, notRun string) bool {
	return response.Header.Get(notRun) != "" || response.Status == http.StatusMisdirectedRequest
}

// read reads one answer with its body. The second result is false if the
// connection must not be used again.
func (c *conn) read(request *Request, config *Config) (*Response, bool, error) {
	head, err := c.readHead(request)
	if err != nil {
		return nil, false, &ExchangeError{Stage: StageSent, InvalidResponse: !isConnError(err), Cause: err}
	}
	response := &Response{Status: head.StatusCode, Header: head.Header, part: config.ResponseBudget.NewReservation()}
	if err := response.readBody(head, config.MaxResponseBytes); err != nil {
		// The body is not closed, since that would read it to its end.
		response.Release()
		full := errors.Is(err, ErrBudgetExceeded)
		return nil, false, &ExchangeError{Stage: StageSent, InvalidResponse: !full, BudgetExceeded: full, Cause: err}
	}
	c.keep = keepAlive(head.Header)
	return response, !head.Close, nil
}

// readHead reads the head of an answer and skips interim answers.
func (c *conn) readHead(request *Request) (*http.Response, error) {
	c.limit.begin(c.reader.Buffered())
	defer c.limit.end()
	for {
		head, err := http.ReadResponse(c.reader, &http.Request{Method: request.Method}) //nolint:bodyclose // readBody reads it to its end.
		if err != nil {
			return nil, err
		}
		if head.StatusCode >= http.StatusOK || head.StatusCode == http.StatusSwitchingProtocols {
			return head, nil
		}
	}
}

// isConnError reports whether an error comes from the connection rather than
// from what was read.
func isConnError(err error) bool {
	var netErr net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &netErr)
}

// keepAlive returns the idle timeout that an endpoint states, zero if none.
func keepAlive(header http.Header) time.Duration {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(text); err == nil && seconds > 0 {
			return max(time.Duration(seconds)*time.Second-idleMargin, time.Millisecond)
		}
	}
	return 0
}

// appendHead appends the request line and the header.
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
