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
// from the connection, so that a larger head is never held in memory.
type headLimitReader struct {
	io.Reader
	// remaining is how many more bytes the head may have. It applies only while
	// inHead is true.
	remaining int
	inHead    bool
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
	if !l.inHead {
		return l.Reader.Read(p)
	}
	if l.remaining <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.Reader.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	return n, err
}
