package endpoint

import (
	"math"
	"strconv"
	"strings"
	"time"

	"savorystep"
)

const (
	// rateLimitWindow is the window for which the platform sums the requests to an
	// endpoint with a rate limit.
	rateLimitWindow = 4 * time.Second
	// rateLimitUtilization is the fraction of a rate limit that is used. Requests that
	// were sent within 4.4 s may arrive within 4 s, since opening a connection takes up
	// to 0.35 s.
	rateLimitUtilization = 0.9
	// maxRateLimitTotal bounds the requests in a window that a rate limit allows, so
	// that the number of requests fits an int whatever an endpoint states.
	maxRateLimitTotal = 1 << 30
	// rateLimitTTL is how long a rate limit applies without a response or a report of
	// another instance that states it. It exceeds two reports, so that one may be
	// lost.
	rateLimitTTL = 40 * time.Second
	// rateLimitReportInterval is the time between two reports of an unchanged limit
	// to the other instances.
	rateLimitReportInterval = 15 * time.Second
	// ownStatementTTL is how long a limit that this instance got from the endpoint
	// itself is neither raised nor ended by reports of others, which may be older.
	ownStatementTTL = 10 * time.Second
	// rateLimitChange is the least relative change of a limit that is reported.
	// Endpoints may state a slightly different limit in each response.
	rateLimitChange = 0.1
)

// A RateLimitStatement is what a response of an endpoint says about its rate limit.
type RateLimitStatement struct {
	// IsLimited is false if the endpoint states no limit.
	IsLimited bool
	// Rate is the limit for all instances together.
	Rate savorystep.RequestsPerSecond
}

// differs reports whether one of the statements has a limit and the other has none,
// or one that differs by more than rateLimitChange.
func (r RateLimitStatement) differs(other RateLimitStatement) bool {
	return r.IsLimited != other.IsLimited || math.Abs(float64(r.Rate-other.Rate)) > rateLimitChange*float64(other.Rate)
}

// ParseRateLimit parses a rate limit in requests per second. It returns false if the
// text is not a non-negative decimal number.
func ParseRateLimit(text string) (savorystep.RequestsPerSecond, bool) {
	rate, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || rate < 0 || math.IsInf(rate, 0) || math.IsNaN(rate) {
		return 0, false
	}
	return savorystep.RequestsPerSecond(rate), true
}

// A rateLimiter holds the rate limit that an endpoint states and counts the requests
// that this instance sends to it. Requests are counted without a limit, too, so that
// those sent before a limit was known are part of the window.
type rateLimiter struct {
	statement RateLimitStatement
	// statedAt is when a response or another instance last stated the limit. ownAt is
	// when a response to this instance last did.
	statedAt, ownAt time.Time
	// peerEndedAt is when another instance reported that the endpoint states no limit
	// any more, zero if the limit was stated again since.
	peerEndedAt time.Time
	// reported is the last statement that this instance and the others know of, as of
	// reportedAt.
	reported   RateLimitStatement
	reportedAt time.Time
	// requests counts the requests that this instance sent. The last one was sent at
	// lastRequestAt.
	requests      windowCounter
	lastRequestAt time.Time
}

func newRateLimiter() rateLimiter {
	return rateLimiter{requests: newWindowCounter(rateLimitWindow)}
}

// afterRestart returns the rate limiter of the next incarnation when it is listed: a new
// one, unless a response stated a limit so recently that it may be that of the new
// incarnation.
func (l *rateLimiter) afterRestart(now time.Time) rateLimiter {
	if l.isLimited(now) && now.Sub(l.ownAt) < maxListingDelay {
		return *l
	}
	return newRateLimiter()
}

// isLimited reports whether a limit is in force.
func (l *rateLimiter) isLimited(now time.Time) bool {
	return l.statement.IsLimited && l.isInForce(now)
}

// isInForce reports whether the limit that was last stated still applies.
func (l *rateLimiter) isInForce(now time.Time) bool {
	isEnded := !l.peerEndedAt.IsZero() && now.Sub(l.ownAt) >= ownStatementTTL
	return !isEnded && now.Sub(l.statedAt) < rateLimitTTL
}

// countRequest counts a request that is sent now.
func (l *rateLimiter) countRequest(now time.Time) {
	l.requests.add(now)
	l.lastRequestAt = now
}

// expire removes a limit that is no longer in force.
func (l *rateLimiter) expire(now time.Time) {
	if l.statement.IsLimited && !l.isLimited(now) {
		l.statement, l.reported, l.peerEndedAt = RateLimitStatement{}, RateLimitStatement{}, time.Time{}
	}
}

// isStricter reports whether a statement has a limit and no lower one is in force.
func (l *rateLimiter) isStricter(statement RateLimitStatement) bool {
	return statement.IsLimited && (!l.statement.IsLimited || statement.Rate <= l.statement.Rate)
}

// recordOwn records the statement of a response to a request that this instance sent
// at sentAt. Responses may arrive in another order than the endpoint sent them: a
// statement that is less strict than the one in force applies only if the request was
// sent after that one arrived. It returns false if the statement does not apply.
func (l *rateLimiter) recordOwn(now, sentAt time.Time, statement RateLimitStatement) bool {
	if !l.isStricter(statement) && !sentAt.After(l.ownAt) {
		return false
	}
	l.statement = statement
	if statement.IsLimited {
		l.statedAt, l.ownAt, l.peerEndedAt = now, now, time.Time{}
	}
	return true
}

// recordPeer records a statement that another instance got. While a limit that the
// endpoint stated to this instance is recent, it is not raised, and it ends only when
// it is no longer recent.
func (l *rateLimiter) recordPeer(now time.Time, statement RateLimitStatement) {
	isOwnRecent := now.Sub(l.ownAt) < ownStatementTTL
	switch {
	case !statement.IsLimited && isOwnRecent:
		l.peerEndedAt = now
	case !statement.IsLimited:
		l.statement = statement
	default:
		if l.isStricter(statement) || !isOwnRecent {
			l.statement = statement
		}
		l.statedAt, l.peerEndedAt = now, time.Time{}
	}
}

// A RateLimitReport says what to do after a statement about a rate limit was recorded.
type RateLimitReport struct {
	// Statement is the one that applies.
	Statement RateLimitStatement
	// IsChanged is true if the limit has begun, ended or changed by more than
	// rateLimitChange since the last report.
	IsChanged bool
	// IsDue is true if the other instances are due to hear of the statement.
	IsDue bool
}

// takeReport returns the report of the statement that applies. The other instances
// count as informed if it is due.
func (l *rateLimiter) takeReport(now time.Time) RateLimitReport {
	report := RateLimitReport{Statement: l.statement, IsChanged: l.statement.differs(l.reported)}
	report.IsDue = report.IsChanged || (l.statement.IsLimited && now.Sub(l.reportedAt) >= rateLimitReportInterval)
	if report.IsDue {
		l.reported, l.reportedAt = l.statement, now
	}
	return report
}

// RecordRateLimit records what the response to a choice says about the rate limit of
// the endpoint.
func (t *Table) RecordRateLimit(now time.Time, choice Choice, statement RateLimitStatement) RateLimitReport {
	l := t.knownRateLimiter(choice.Endpoint.ID, choice.Endpoint.StartedAtMillis)
	if l == nil {
		return RateLimitReport{}
	}
	l.expire(now)
	if (!statement.IsLimited && !l.statement.IsLimited) || !l.recordOwn(now, choice.startedAt, statement) {
		return RateLimitReport{}
	}
	return l.takeReport(now)
}

// ApplyRateLimit applies a statement that another instance got from the incarnation
// of an endpoint that started at startedAtMillis.
func (t *Table) ApplyRateLimit(now time.Time, id savorystep.EndpointID, startedAtMillis int64, statement RateLimitStatement) RateLimitReport {
	l := t.knownRateLimiter(id, startedAtMillis)
	if l == nil {
		return RateLimitReport{}
	}
	l.expire(now)
	l.recordPeer(now, statement)
	report := l.takeReport(now)
	l.reportedAt = now
	return report
}

// knownRateLimiter returns the rate limiter of the incarnation of an endpoint, which is
// that of its tombstone if it is not listed. It returns nil if neither is known.
func (t *Table) knownRateLimiter(id savorystep.EndpointID, startedAtMillis int64) *rateLimiter {
	if s := t.byID[id]; s != nil && s.StartedAtMillis == startedAtMillis {
		return &s.rateLimiter
	}
	if tomb := t.tombstones[id]; tomb != nil && tomb.startedAtMillis == startedAtMillis {
		return &tomb.rateLimiter
	}
	return nil
}

// hasRateLimitRoom reports whether the rate limit in force of an endpoint allows this
// instance to send it a request now. The limit applies to all instances together, so
// each uses its own share of it and spreads that over the window.
func (t *Table) hasRateLimitRoom(now time.Time, s *endpointState) bool {
	l, share := &s.rateLimiter, t.rateLimitShare(now, s)
	if l.requests.sum(now) >= share {
		return false
	}
	return now.Sub(l.lastRequestAt) >= rateLimitWindow/time.Duration(2*share)
}

// rateLimitRoomAt returns when an endpoint without room in its rate limit has room for
// a request of this instance, zero if the share of this instance allows none.
func (t *Table) rateLimitRoomAt(now time.Time, s *endpointState) time.Time {
	l, share := &s.rateLimiter, t.rateLimitShare(now, s)
	if share == 0 {
		return time.Time{}
	}
	roomAt := l.lastRequestAt.Add(rateLimitWindow / time.Duration(2*share))
	if windowAt := l.requests.fallsBelow(now, share); windowAt.After(roomAt) {
		return windowAt
	}
	return roomAt
}

// rateLimitShare returns the number of requests that this instance may send to an
// endpoint with a rate limit in rateLimitWindow. The fleet sends at least one, which
// is how it learns that the limit has ended.
func (t *Table) rateLimitShare(now time.Time, s *endpointState) int {
	total := float64(s.rateLimiter.statement.Rate) * rateLimitWindow.Seconds() * rateLimitUtilization
	return t.instanceShare(now, int(min(max(1, total), maxRateLimitTotal)), s)
}

// CountRateLimited returns the number of endpoints with a rate limit in force.
func (t *Table) CountRateLimited(now time.Time) int {
	count := 0
	for _, s := range t.byID {
		if s.rateLimiter.isLimited(now) {
			count++
		}
	}
	return count
}

// RecentRequests returns the number of requests that this instance sent to an
// endpoint in the last rateLimitWindow.
func (t *Table) RecentRequests(now time.Time, id savorystep.EndpointID) int {
	s := t.byID[id]
	if s == nil {
		return 0
	}
	return s.rateLimiter.requests.sum(now)
}
