package peer

import (
	"net/http"
	"strconv"
	"time"

	"savorystep"
)

// ageHeader is the header of a response that says how many milliseconds ago the
// sender's picture of the catalog was up to date. Older builds do not send it.
const ageHeader = "Catalog-Age-Ms"

// followerMargin is how much earlier than a reader a follower takes a picture for too
// old. A reader that does not respond any more holds the follower up for
// readerTimeoutMargin, and with the read of the store after it the change must be in
// force in 2.5 s, the shortest limit of deployments.
const followerMargin = 200 * time.Millisecond

// storeMargin is how much earlier than its followers a reader ends a wait at the store,
// so that its picture does not become too old for them while the store responds.
const storeMargin = 500 * time.Millisecond

// setAge states an age in the header of a response.
func setAge(header http.Header, age time.Duration) {
	header.Set(ageHeader, strconv.FormatInt(age.Milliseconds(), 10))
}

// ageOf returns the age that the header of a response states, false if it states none.
func ageOf(header http.Header) (time.Duration, bool) {
	milliseconds, err := strconv.ParseUint(header.Get(ageHeader), 10, 31)
	if err != nil {
		return 0, false
	}
	return time.Duration(milliseconds) * time.Millisecond, true //nolint:gosec // It has 31 bits.
}

// maxWaitUntil returns how long an instance may wait for changes, so that the age of
// its own picture does not exceed maxAge meanwhile. It returns maxWait if that age is
// not known.
func maxWaitUntil(now, updatedAt time.Time, maxWait, maxAge time.Duration) time.Duration {
	if updatedAt.IsZero() {
		return maxWait
	}
	return max(0, min(maxWait, updatedAt.Add(maxAge).Sub(now)))
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// A storeReading is a read of the store in progress.
type storeReading struct {
	clock, ageClock         savorystep.Clock
	startedAt, ageStartedAt time.Time
}

// startReading returns a read that starts now.
func (r *CatalogRelay) startReading() storeReading {
	return storeReading{clock: r.config.Clock, ageClock: r.config.AgeClock, startedAt: r.config.Clock.Now(), ageStartedAt: r.config.AgeClock.Now()}
}

// upToDateAt returns the time at which the result of a read that ends now was up to
// date. If the machine was suspended during the read, the store may have responded
// before that.
func (s storeReading) upToDateAt() time.Time {
	endedAt := s.ageClock.Now()
	suspended := endedAt.Sub(s.ageStartedAt) - s.clock.Now().Sub(s.startedAt)
	return endedAt.Add(-max(0, suspended))
}
