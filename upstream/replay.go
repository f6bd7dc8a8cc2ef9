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
type replay struct {
	mu     sync.Mutex
	source io.Reader
	limit  int
	read   []byte
	over   bool
	err    error
	reader *replayReader
}

// newReplay returns a body that keeps up to limit bytes. A source that is a
// replay already keeps its own limit.
func newReplay(source io.Reader, limit int) *replay {
	if r, ok := source.(*replay); ok {
		return r
	}
	return &replay{source: source, limit: limit}
}

// Read makes a replay a request body; attempts read it through open.
func (r *replay) Read(p []byte) (int, error) {
	return r.source.Read(p)
}

// open returns a reader from the start of the body, and false if the start is
// no longer kept. Readers opened before fail from now on.
func (r *replay) open() (*replayReader, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.over {
		return nil, false
	}
	r.reader = &replayReader{body: r}
	return r.reader, true
}

// A replayReader reads a replay for one attempt.
type replayReader struct {
	body *replay
	at   int
	// blocked is true while the reader waits for the caller's bytes.
	blocked atomic.Bool
	ended   atomic.Bool
}

// Read reads kept bytes first, then the source.
func (b *replayReader) Read(p []byte) (int, error) {
	r := b.body
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reader != b || b.ended.Load() {
		return 0, errStaleBody
	}
	if b.at < len(r.read) {
		n := copy(p, r.read[b.at:])
		b.at += n
		return n, nil
	}
	if r.err != nil {
		return 0, r.err
	}
	b.blocked.Store(true)
	n, err := r.source.Read(p)
	b.blocked.Store(false)
	if err != nil {
		r.err = err
	}
	if !r.over && len(r.read)+n > r.limit {
		r.over = true
		r.read = nil
		b.at = 0
	}
	if !r.over {
		r.read = append(r.read, p[:n]...)
		b.at += n
	}
	return n, err
}

// Close ends the reader. It does not close the caller's body.
func (b *replayReader) Close() error {
	b.ended.Store(true)
	return nil
}

// sourceError returns the error that the caller's body ended with, or nil if
// it was read without one.
func (r *replay) sourceError() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if errors.Is(r.err, io.EOF) {
		return nil
	}
	return r.err
}

// isOver reports whether the start of the body is no longer kept.
func (r *replay) isOver() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.over
}
