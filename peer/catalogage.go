package peer

import (
	"net/http"
	"strconv"
	"time"
)

const (
	// ageHeader is the header of a response that says how many milliseconds ago the
	// sender's picture of the catalog was up to date. Older builds do not send it.
	ageHeader = "Catalog-Age-Ms"
	// heldHeader is the header that says for how many milliseconds the sender held the
	// query. Older builds do not send it.
	heldHeader = "Catalog-Held-Ms"
)

// followerMargin is how much earlier than a reader a follower takes a picture for too
// old. A reader that does not respond any more holds the follower up for
// readerTimeoutMargin, and with the read of the store after it the change must be in
// force in 2.5 s, the shortest limit of deployments.
const followerMargin = 200 * time.Millisecond

// storeMargin is how much earlier than its followers a reader ends a wait at the store,
// so that its picture does not become too old for them while the store responds.
const storeMargin = 500 * time.Millisecond

// A responseAge says when a response of a peer was made and how old its picture was.
type responseAge struct {
	// age is the age of the picture, held the time for which the peer held the query.
	age, held time.Duration
	// hasAge and hasHeld are false if the peer, of an older build, did not state them.
	hasAge, hasHeld bool
}

// set states a response's age in its header. The picture must not be taken for younger,
// nor the response for later.
func (a responseAge) set(header http.Header) {
	header.Set(ageHeader, strconv.FormatInt((a.age+time.Millisecond-1).Milliseconds(), 10))
	header.Set(heldHeader, strconv.FormatInt(a.held.Milliseconds(), 10))
}

// responseAgeOf returns what the header of a response states.
func responseAgeOf(header http.Header) responseAge {
	var a responseAge
	a.age, a.hasAge = parseMilliseconds(header.Get(ageHeader))
	a.held, a.hasHeld = parseMilliseconds(header.Get(heldHeader))
	return a
}

// upToDateAt returns when a picture was up to date at the latest that is certain, given
// when the query was sent and when its response has arrived. A response may have been
// on its way at any time in between, except while the peer held the query. A peer that
// does not state that time is of an older build, whose responses count from their
// arrival.
func (a responseAge) upToDateAt(sentAt, arrivedAt time.Time) time.Time {
	madeAt := arrivedAt
	if a.hasHeld {
		madeAt = earliest(sentAt.Add(a.held), arrivedAt)
	}
	return madeAt.Add(-a.age)
}

// parseMilliseconds parses a number of milliseconds. It returns false if there is none.
func parseMilliseconds(s string) (time.Duration, bool) {
	milliseconds, err := strconv.ParseUint(s, 10, 31)
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

// earliest returns the earlier of two times.
func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
