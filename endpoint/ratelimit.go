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
	// rateLimitChange is the least relative change of a rate limit that
	// RecordRateLimit reports. Endpoints may state a slightly different limit in each
	// response.
	rateLimitChange = 0.1
)

// A RateLimitStatement is what a response of an endpoint says about its rate limit.
type RateLimitStatement struct {
	// IsLimited is false if the endpoint states no limit.
	IsLimited bool
	// Rate is the limit for all instances together.
	Rate savorystep.RequestsPerSecond
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

// A rateLimit is the rate limit that an endpoint states.
type rateLimit struct {
	isStated bool
	rate     savorystep.RequestsPerSecond
	// reported is the statement that RecordRateLimit last reported as a change.
	reported RateLimitStatement
}

// RecordRateLimit records what the response to a choice says about the rate limit of
// the endpoint. It returns true if the limit begins, ends or changes by at least
// rateLimitChange.
func (t *Table) RecordRateLimit(now time.Time, choice Choice, statement RateLimitStatement) bool {
	s := t.byID[choice.Endpoint.ID]
	if s == nil || s.StartedAtMillis != choice.Endpoint.StartedAtMillis {
		return false
	}
	_ = now
	s.rateLimit.isStated, s.rateLimit.rate = statement.IsLimited, statement.Rate
	return s.rateLimit.reportChange(statement)
}

// reportChange reports whether a statement differs enough from the last reported one
// to be reported.
func (l *rateLimit) reportChange(statement RateLimitStatement) bool {
	last := l.reported
	if statement.IsLimited == last.IsLimited && math.Abs(float64(statement.Rate-last.Rate)) <= rateLimitChange*float64(last.Rate) {
		return false
	}
	l.reported = statement
	return true
}

// CountRateLimited returns the number of endpoints that state a rate limit.
func (t *Table) CountRateLimited() int {
	count := 0
	for _, s := range t.byID {
		if s.rateLimit.isStated {
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
	return s.recentRequests.sum(now)
}
