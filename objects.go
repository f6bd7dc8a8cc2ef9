package savorystep

import "context"

// An ObjectName identifies an object in the platform's object store.
type ObjectName string

// Objects is the platform's object store. Objects are immutable once written. The
// error of a missing object has kind KindNotFound, any other error has kind
// KindPlatformDown.
type Objects interface {
	Get(ctx context.Context, name ObjectName) ([]byte, error)
	Put(ctx context.Context, name ObjectName, value []byte) error
}
