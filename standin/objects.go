package standin

import (
	"context"
	"sync"

	"savorystep"
)

var _ savorystep.Objects = &Objects{}

// Objects is an object store in memory.
type Objects struct {
	mu     sync.Mutex
	values map[savorystep.ObjectName][]byte
}

// NewObjects returns an empty object store.
func NewObjects() *Objects {
	return &Objects{values: make(map[savorystep.ObjectName][]byte)}
}

// Get reads an object.
func (o *Objects) Get(_ context.Context, name savorystep.ObjectName) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	value, ok := o.values[name]
	if !ok {
		return nil, savorystep.NewError(savorystep.KindNotFound, "no object %q", name)
	}
	return append([]byte(nil), value...), nil
}

// Put writes an object. Objects are immutable, so the first write stays.
func (o *Objects) Put(_ context.Context, name savorystep.ObjectName, value []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, ok := o.values[name]; !ok {
		o.values[name] = append([]byte(nil), value...)
	}
	return nil
}
