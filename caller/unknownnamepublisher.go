package caller

import (
	"context"
	"time"

	"savorystep"
)

// publishInterval is the time between two publications of unknown name counts.
const publishInterval = time.Second

// An UnknownNamePublisher counts unknown names and publishes the counts to the other
// instances as facts.
type UnknownNamePublisher struct {
	*UnknownNameCounter
	Clock savorystep.Clock
	Facts savorystep.Facts
}

// Start publishes changed counts every second until ctx is done. The channel then
// receives nil.
func (u *UnknownNamePublisher) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		ticker := time.NewTicker(publishInterval)
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
