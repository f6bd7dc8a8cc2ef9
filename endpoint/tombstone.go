package endpoint

import (
	"time"

	"savorystep"
)

// tombstoneTTL is how long the tombstone of a removed endpoint is kept at least. Reports
// that were in flight at the removal are written within seconds. A tombstone is kept
// longer while the endpoint wants no requests.
const tombstoneTTL = time.Minute

// lateReportTTL is how long the store lists an entry that was written by a delayed
// report, at most: three report intervals of 1.5 s, and the time until its removal is
// read.
const lateReportTTL = 6 * time.Second

// A tombstone records the last entry of a removed endpoint, so that a delayed
// report does not add the endpoint again.
type tombstone struct {
	startedAtMillis int64
	reportSequence  uint64
	removedAt       time.Time
	// laterSequence is the report sequence of the first report after the one that
	// was known at the removal, zero before such a report.
	laterSequence uint64
	// needsOneReport is true if a single newer report shows that the endpoint is live.
	needsOneReport bool
	// pending is the entry of that report, and pendingSince when it was put, zero
	// without one. The entry does not change with each report, so it may be the only
	// one of a live endpoint.
	pending      savorystep.Endpoint
	pendingSince time.Time
	// rateLimiter and holdOff are kept because the entry of a live endpoint may expire
	// and be added again while what the endpoint stated stands.
	rateLimiter rateLimiter
	holdOff     holdOff
	// recent are the requests before the removal. Like those after it, they count for the
	// next incarnation, too. suspectSince is when the endpoint began to be suspected to be
	// cold, zero if it was not.
	recent       recentRequests
	suspectSince time.Time
}

// recordRewrite records that the entry was written again by a report that is not
// newer than the known one. If it is the known report itself, a single newer
// report is enough to show that the endpoint is live.
func (t *tombstone) recordRewrite(entry savorystep.Endpoint) {
	if entry.StartedAtMillis == t.startedAtMillis && entry.ReportSequence == t.reportSequence {
		t.laterSequence = t.reportSequence
	}
}

// rateLimiterOf returns the rate limiter of an endpoint that is added: that of its
// tombstone if it is the same incarnation, or else a new one.
func (t *Table) rateLimiterOf(entry savorystep.Endpoint) rateLimiter {
	if tomb := t.tombstones[entry.ID]; tomb != nil && tomb.startedAtMillis == entry.StartedAtMillis {
		return tomb.rateLimiter
	}
	return newRateLimiter()
}

// evictTombstones deletes tombstones older than tombstoneTTL, unless the endpoint is
// closed.
func (t *Table) evictTombstones(now time.Time) {
	for id, tomb := range t.tombstones {
		if now.Sub(tomb.removedAt) >= tombstoneTTL && !tomb.holdOff.isClosed(now) {
			delete(t.tombstones, id)
		}
	}
}

// isStale reports whether an entry may be a delayed report of a removed endpoint
// that was written after the removal. Only one report can be delayed like this, so
// a second newer one shows that the endpoint is live.
func (t *Table) isStale(now time.Time, entry savorystep.Endpoint) bool {
	tomb := t.tombstones[entry.ID]
	if tomb == nil {
		return false
	}
	if now.Sub(tomb.removedAt) >= tombstoneTTL || entry.StartedAtMillis > tomb.startedAtMillis {
		delete(t.tombstones, entry.ID)
		return false
	}
	if entry.StartedAtMillis < tomb.startedAtMillis || entry.ReportSequence <= tomb.reportSequence {
		tomb.pendingSince = time.Time{}
		return true
	}
	if !tomb.needsOneReport && (tomb.laterSequence == 0 || entry.ReportSequence <= tomb.laterSequence) {
		tomb.laterSequence = entry.ReportSequence
		if tomb.pendingSince.IsZero() {
			tomb.pendingSince = now
		}
		tomb.pending = entry
		return true
	}
	delete(t.tombstones, entry.ID)
	return false
}

// PutPending adds the endpoints whose entry may have been a delayed report, but is
// listed for longer than the store lists that of an endpoint which has left.
func (t *Table) PutPending(now time.Time) {
	for _, tomb := range t.tombstones {
		if !tomb.pendingSince.IsZero() && now.Sub(tomb.pendingSince) >= lateReportTTL {
			tomb.needsOneReport = true
			t.Put(now, tomb.pending)
		}
	}
}

// DelayPending lets the time of pending endpoints begin anew, because the store could
// not be read, or did not count the silence of endpoints.
func (t *Table) DelayPending(now time.Time) {
	for _, tomb := range t.tombstones {
		if !tomb.pendingSince.IsZero() {
			tomb.pendingSince = now
		}
	}
}
