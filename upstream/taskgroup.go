package upstream

import "sync"

// A taskGroup tracks goroutines and recovers their panics, which would end the process and
// all requests in it. Unlike with a sync.WaitGroup, goroutines may
// be added from zero while another goroutine is in Wait.
type taskGroup struct {
	mu    sync.Mutex
	count int
	idle  chan struct{}
	// panics counts the panics of the goroutines and of the requests in them.
	panics panicCounter
}

// Go runs f in a tracked goroutine.
func (t *taskGroup) Go(f func()) {
	t.mu.Lock()
	t.count++
	t.mu.Unlock()
	go func() {
		defer t.done()
		defer func() {
			if cause := recover(); cause != nil {
				t.panics.record("task in the background", cause)
			}
		}()
		f()
	}()
}

// done removes a goroutine and wakes the waiters after the last one.
func (t *taskGroup) done() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count--
	if t.count == 0 && t.idle != nil {
		close(t.idle)
		t.idle = nil
	}
}

// Wait waits until no tracked goroutine runs.
func (t *taskGroup) Wait() {
	t.mu.Lock()
	if t.count == 0 {
		t.mu.Unlock()
		return
	}
	if t.idle == nil {
		t.idle = make(chan struct{})
	}
	idle := t.idle
	t.mu.Unlock()
	<-idle
}
