package upstream

import (
	"runtime/debug"
	"sync/atomic"

	"savorystep"
)

// A panicCounter logs and counts recovered panics.
type panicCounter struct {
	count atomic.Int64
}

// record logs a panic of a subject, and counts it.
func (c *panicCounter) record(subject string, cause any) {
	c.count.Add(1)
	log.Errorf("%s panicked: %v\n%s", subject, cause, debug.Stack())
}

// recoverOutcome returns the outcome of run. If run panics, the request fails with an
// unknown execution.
func (c *panicCounter) recoverOutcome(request *savorystep.Request, run func() outcome) (o outcome) {
	defer func() {
		if cause := recover(); cause != nil {
			c.record("request "+string(request.ID)+" to service "+string(request.Service), cause)
			o = outcome{err: savorystep.NewError(savorystep.KindInternal, "internal error while the request was forwarded")}
		}
	}()
	return run()
}
