package savorystep

import (
	"context"
	"time"
)

// Sleep waits for the given duration or until ctx is done. It returns false if ctx
// was done first.
func Sleep(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
