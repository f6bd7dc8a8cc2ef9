package http1

import (
	"fmt"
	"io"
)

// maxHeadBytes bounds the status line and header of a response, together with the
// interim responses before it. Heads usually have a few hundred bytes, and
// http.ReadResponse does not bound them.
const maxHeadBytes = 32 << 10

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
	// endErr is the error of the last read, nil while the connection delivers data.
	endErr error
}

var _ io.Reader = &headLimitReader{}

// startHead applies the limit to a head of which buffered bytes were read
// already.
func (l *headLimitReader) startHead(buffered int) {
	l.inHead, l.remaining = true, maxHeadBytes-buffered
}

// endHead lifts the limit for the body, which has a limit of its own.
func (l *headLimitReader) endHead() {
	l.inHead = false
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
	}
	l.endErr = err
	return n, err
}
