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

// Get returns a copy of an object's value. The error has kind KindNotFound if the
// object doesn't exist.
func (o *Objects) Get(_ context.Context, name savorystep.ObjectName) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	value, ok := o.values[name]
	if !ok {
		return nil, savorystep.NewError(savorystep.KindNotFound, "object %q does not exist", name)
	}
	return append([]byte(nil), value...), nil
}

// Put writes an object. Objects are immutable: if the object exists, its value
// stays and Put returns nil.
func (o *Objects) Put(_ context.Context, name savorystep.ObjectName, value []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, ok := o.values[name]; !ok {
		o.values[name] = append([]byte(nil), value...)
	}
	return nil
}
