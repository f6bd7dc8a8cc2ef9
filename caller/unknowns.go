package caller

import (
	"context"
	"time"

	"savorystep"
)

// flushInterval is how often counts of unknown names are published.
const flushInterval = time.Second

// UnknownNamePublisher publishes the counts of unknown names to the other instances.
type UnknownNamePublisher struct {
	*UnknownNameCounter
	Clock savorystep.Clock
	Facts savorystep.Facts
}

// Start publishes counts until ctx ends.
func (u *UnknownNamePublisher) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		ticker := time.NewTicker(flushInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				done <- nil
				return
			case <-ticker.C:
				u.PublishChanged(u.Clock.Now(), u.Facts)
			}
		}
	}()
	return done
}
