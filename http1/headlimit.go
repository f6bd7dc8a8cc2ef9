package http1

import (
	"bytes"
	"fmt"
	"io"
)

// maxHeadBytes bounds the status line and header of a response, together with the
// interim responses before it. Heads usually have a few hundred bytes, and
// http.ReadResponse does not bound them.
const maxHeadBytes = 32 << 10

// oldVersion is the start of a head of HTTP/1.0.
const oldVersion = "HTTP/1.0"

var errHeadTooLarge = fmt.Errorf("the head of the answer has more than %d bytes", maxHeadBytes)

// A headLimitReader bounds the size of response heads. It limits the bytes read
// from the connection, so that a larger head is never held in memory. It keeps the error
// that ended the connection, which parsers may replace by their own.
type headLimitReader struct {
	io.Reader
	// remaining is how many more bytes the head may have. It applies only while
	// inHead is true.
	remaining int
	inHead    bool
	// oldHead has the bytes of a head of HTTP/1.0, and those of the body that were read
	// with it.
	oldHead []byte
	// endErr is the error of the last read, nil while the connection delivers data.
	endErr error
}

var _ io.Reader = &headLimitReader{}

// startHead applies the limit to a head of which buffered bytes were read
// already.
func (l *headLimitReader) startHead(buffered int) {
	l.inHead, l.remaining = true, maxHeadBytes-buffered
}

// startMessage records the head of a message of which buffered was read already, if it is
// one of HTTP/1.0.
func (l *headLimitReader) startMessage(buffered []byte) {
	l.oldHead = nil
	l.record(buffered)
}

// record appends bytes to oldHead while they may be those of HTTP/1.0.
func (l *headLimitReader) record(read []byte) {
	begin := l.oldHead
	if len(begin) == 0 {
		begin = read
	}
	if n := min(len(begin), len(oldVersion)); string(begin[:n]) == oldVersion[:n] {
		l.oldHead = append(l.oldHead, read...)
	}
}

// hasOldTransferEncoding reports whether a head of HTTP/1.0 has the field Transfer-Encoding,
// which http.ReadResponse drops.
func (l *headLimitReader) hasOldTransferEncoding() bool {
	for line := range bytes.Lines(l.oldHead) {
		if len(bytes.TrimSpace(line)) == 0 {
			return false
		}
		if name, _, ok := bytes.Cut(line, []byte(":")); ok && bytes.EqualFold(name, []byte("Transfer-Encoding")) {
			return true
		}
	}
	return false
}

// endHead lifts the limit for the body, which has a limit of its own.
func (l *headLimitReader) endHead() {
	l.inHead, l.oldHead = false, nil
}

// Read reads from the connection. It returns errHeadTooLarge once a head has
// reached its limit.
func (l *headLimitReader) Read(p []byte) (int, error) {
	if l.inHead {
		if l.remaining <= 0 {
			return 0, errHeadTooLarge
		}
		p = p[:min(len(p), l.remaining)]
	}
	n, err := l.Reader.Read(p)
	if l.inHead {
		l.remaining -= n
		l.record(p[:n])
	}
	l.endErr = err
	return n, err
}
