package upstream

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

var errBodyUnavailable = errors.New("request body is no longer available to this attempt")

// A replayBody is a request body that can be read again from its start as long
// as no more than limit bytes were read from the source.
type replayBody struct {
	mu        sync.Mutex
	source    io.Reader
	limit     int
	buffered  []byte
	exceeded  bool
	sourceErr error
	current   *replayReader
}

// newReplayBody returns a body that buffers up to limit bytes. A source that
// already is a replayBody is returned with its own limit.
func newReplayBody(source io.Reader, limit int) *replayBody {
	if r, ok := source.(*replayBody); ok {
		return r
	}
	return &replayBody{source: source, limit: limit}
}

// Read implements io.Reader, so that a replayBody can be the body of a request.
// Attempts read it through open instead.
func (r *replayBody) Read(p []byte) (int, error) {
	return r.source.Read(p)
}

// open returns a reader from the start of the body, or false if the start is no
// longer buffered. Readers opened earlier fail from then on.
func (r *replayBody) open() (*replayReader, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.exceeded {
		return nil, false
	}
	r.current = &replayReader{body: r}
	return r.current, true
}

// A replayReader reads a replayBody for one attempt.
type replayReader struct {
	body   *replayBody
	offset int
	// awaitingSource is true while Read waits for bytes of the caller.
	awaitingSource atomic.Bool
	closed         atomic.Bool
}

// Read reads buffered bytes first, then from the source.
func (b *replayReader) Read(p []byte) (int, error) {
	r := b.body
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current != b || b.closed.Load() {
		return 0, errBodyUnavailable
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

// Close invalidates the reader. It does not close the caller's body.
func (b *replayReader) Close() error {
	b.closed.Store(true)
	return nil
}

// sourceError returns the error of reading the caller's body, or nil if there
// was none.
func (r *replayBody) sourceError() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if errors.Is(r.sourceErr, io.EOF) {
		return nil
	}
	return r.sourceErr
}

// limitExceeded reports whether the start of the body is no longer buffered.
func (r *replayBody) limitExceeded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.exceeded
}
