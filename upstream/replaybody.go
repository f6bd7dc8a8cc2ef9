package upstream

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

var errStaleBody = errors.New("the attempt that read this body has ended")

// A replay is a request body that can be read again from its start while no
// more than its limit was read from the source.
type replayBody struct {
	mu        sync.Mutex
	source    io.Reader
	limit     int
	buffered  []byte
	exceeded  bool
	sourceErr error
	current   *replayReader
}

// newReplay returns a body that keeps up to limit bytes. A source that is a
// replay already keeps its own limit.
func newReplayBody(source io.Reader, limit int) *replayBody {
	if r, ok := source.(*replayBody); ok {
		return r
	}
	return &replayBody{source: source, limit: limit}
}

// Read makes a replay a request body; attempts read it through open.
func (r *replayBody) Read(p []byte) (int, error) {
	return r.source.Read(p)
}

// open returns a reader from the start of the body, and false if the start is
// no longer kept. Readers opened before fail from now on.
func (r *replayBody) open() (*replayReader, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.exceeded {
		return nil, false
	}
	r.current = &replayReader{body: r}
	return r.current, true
}

// A replayReader reads a replay for one attempt.
type replayReader struct {
	body   *replayBody
	offset int
	// blocked is true while the reader waits for the caller's bytes.
	awaitingSource atomic.Bool
	closed         atomic.Bool
}

// Read reads kept bytes first, then the source.
func (b *replayReader) Read(p []byte) (int, error) {
	r := b.body
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current != b || b.closed.Load() {
		return 0, errStaleBody
	}
	if b.offset < len(r.buffered) {
		n := copy(p, r.buffered[b.offset:])
		b.offset += n
		return n, nil
	}
	if r.sourceErr != nil {
		return 0, r.sourceErr
	}
	b.awaitingSource.Store(true)
	n, err := r.source.Read(p)
	b.awaitingSource.Store(false)
	if err != nil {
		r.sourceErr = err
	}
	if !r.exceeded && len(r.buffered)+n > r.limit {
		r.exceeded = true
		r.buffered = nil
		b.offset = 0
	}
	if !r.exceeded {
		r.buffered = append(r.buffered, p[:n]...)
		b.offset += n
	}
	return n, err
}

// Close ends the reader. It does not close the caller's body.
func (b *replayReader) Close() error {
	b.closed.Store(true)
	return nil
}

// sourceError returns the error that the caller's body ended with, or nil if
// it was read without one.
func (r *replayBody) sourceError() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if errors.Is(r.sourceErr, io.EOF) {
		return nil
	}
	return r.sourceErr
}

// isOver reports whether the start of the body is no longer kept.
func (r *replayBody) limitExceeded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.exceeded
}
