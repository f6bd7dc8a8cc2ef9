package savorystep

import "context"

// An ObjectName is the name of an object in the platform's object store.
type ObjectName string

// Objects is the platform's object store. Objects are immutable once written.
// A missing object gives KindNotFound, any other failure KindPlatformDown.
type Objects interface {
	Get(ctx context.Context, name ObjectName) ([]byte, error)
	Put(ctx context.Context, name ObjectName, value []byte) error
}
