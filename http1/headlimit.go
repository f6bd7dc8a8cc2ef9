package http1

import (
	"fmt"
	"io"
)

// maxHead bounds the head of an answer in bytes, together with the interim
// answers before it. Heads have a few hundred bytes, and http.ReadResponse
// bounds none of their parts.
const maxHead = 32 << 10

// errHeadTooLarge is the error of a head that exceeds maxHead.
var errHeadTooLarge = fmt.Errorf("the head of the answer has more than %d bytes", maxHead)

// A headLimit is a reader that bounds the bytes of heads. It bounds what is read
// from the connection, so that nothing larger is ever held.
type headLimit struct {
	io.Reader
	// left is what a head may still have. It holds only while inHead is true.
	left   int
	inHead bool
}

var _ io.Reader = &headLimit{}

// begin starts a head of which buffered bytes were read already.
func (l *headLimit) begin(buffered int) {
	l.inHead, l.left = true, maxHead-buffered
}

// end lets a body be read, which has a bound of its own.
func (l *headLimit) end() {
	l.inHead = false
}

// Read reads bytes as long as the head has not reached its bound.
func (l *headLimit) Read(p []byte) (int, error) {
	if !l.inHead {
		return l.Reader.Read(p)
	}
	if l.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.Reader.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}
