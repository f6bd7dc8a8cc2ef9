package upstream

import "sync"

// tasks counts goroutines. Unlike a sync.WaitGroup it may be waited for while
// others are added.
type taskGroup struct {
	mu    sync.Mutex
	count int
	idle  chan struct{}
}

// Go runs f in a counted goroutine.
func (t *taskGroup) Go(f func()) {
	t.mu.Lock()
	t.count++
	t.mu.Unlock()
	go func() {
		defer t.done()
		f()
	}()
}

// done ends a task and wakes waiters after the last one.
func (t *taskGroup) done() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count--
	if t.count == 0 && t.idle != nil {
		close(t.idle)
		t.idle = nil
	}
}

// Wait waits until no task runs.
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
