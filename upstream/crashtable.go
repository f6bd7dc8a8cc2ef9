package upstream

import (
	"maps"
	"slices"
	"sync"
	"time"

	"savorystep"
)

const (
	// crashTTL is how long a crash counts against a fingerprint.
	crashTTL = 10 * time.Minute
	// maxCrashRecords bounds the fingerprints with a record. Each record
	// requires a crashed endpoint, so the bound is far above what is expected
	// within crashTTL.
	maxCrashRecords = 10_000
)

// A crashTable holds the incarnations of endpoints that crashed while they ran a
// request with a fingerprint. Each counts once, however many instances report it.
type crashTable struct {
	mu      sync.Mutex
	records map[savorystep.Fingerprint]*crashRecord
}

// A crashRecord holds the crashes of one fingerprint.
type crashRecord struct {
	// reportedAt holds when the crash of each incarnation was first reported.
	reportedAt map[savorystep.EndpointID]time.Time
	// ownCrashes lists the incarnations whose crash this instance observed, the
	// last one at lastOwnCrash.
	ownCrashes   []savorystep.EndpointID
	lastOwnCrash time.Time
}

func newCrashTable() *crashTable {
	return &crashTable{records: make(map[savorystep.Fingerprint]*crashRecord)}
}

// total returns the number of crashes of a fingerprint.
func (t *crashTable) total(key savorystep.Fingerprint, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.countLocked(key, now)
}

// countLocked returns the number of crashes of a fingerprint and deletes
// expired ones. The caller holds mu.
func (t *crashTable) countLocked(key savorystep.Fingerprint, now time.Time) int {
	record := t.records[key]
	if record == nil {
		return 0
	}
	for endpoint, reportedAt := range record.reportedAt {
		if now.Sub(reportedAt) > crashTTL {
			delete(record.reportedAt, endpoint)
		}
	}
	if len(record.reportedAt) == 0 {
		delete(t.records, key)
	}
	return len(record.reportedAt)
}

// addOwn records a crash that this instance observed and returns all endpoints
// whose crash with the fingerprint it has observed.
func (t *crashTable) addOwn(key savorystep.Fingerprint, endpoint savorystep.EndpointID, now time.Time) []savorystep.EndpointID {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.countLocked(key, now)
	record := t.recordCrash(key, endpoint, now)
	record.ownCrashes = append(record.ownCrashes, endpoint)
	record.lastOwnCrash = now
	return append([]savorystep.EndpointID(nil), record.ownCrashes...)
}

// addFromPeer records crashes that another instance observed.
func (t *crashTable) addFromPeer(key savorystep.Fingerprint, endpoints []savorystep.EndpointID, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, endpoint := range endpoints {
		t.recordCrash(key, endpoint, now)
	}
}

// recordCrash records when a crash was first reported. The caller holds mu.
func (t *crashTable) recordCrash(key savorystep.Fingerprint, endpoint savorystep.EndpointID, now time.Time) *crashRecord {
	record := t.records[key]
	if record == nil {
		t.evictOldest()
		record = &crashRecord{reportedAt: make(map[savorystep.EndpointID]time.Time)}
		t.records[key] = record
	}
	if _, ok := record.reportedAt[endpoint]; !ok {
		record.reportedAt[endpoint] = now
	}
	return record
}

// fingerprints returns the fingerprints with a crash.
func (t *crashTable) fingerprints() []savorystep.Fingerprint {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Collect(maps.Keys(t.records))
}

// toSaved returns the crashes of a fingerprint as the crash log keeps them, or false if
// there are none.
func (t *crashTable) toSaved(key savorystep.Fingerprint, now time.Time) (savorystep.RequestCrashes, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := t.countLocked(key, now)
	if count == 0 {
		return savorystep.RequestCrashes{}, false
	}
	return savorystep.RequestCrashes{
		Fingerprint: key, Streak: count, LastCrashMillis: t.lastCrash(key).UnixMilli(),
		Endpoints: slices.Sorted(maps.Keys(t.records[key].reportedAt)),
	}, true
}

// clear deletes the crashes of a fingerprint.
func (t *crashTable) clear(key savorystep.Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.records, key)
}

// clearBefore deletes the crashes of a fingerprint if all were reported before
// cutoff. It reports whether there were any to delete.
func (t *crashTable) clearBefore(key savorystep.Fingerprint, cutoff time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	last := t.lastCrash(key)
	if last.IsZero() || !last.Before(cutoff) {
		return false
	}
	delete(t.records, key)
	return true
}

// ownCrashSince reports whether this instance observed a crash with a
// fingerprint at or after the given time. Crashes observed by peers are
// ignored, because they may be reported late, after the attempt that they
// should have prevented.
func (t *crashTable) ownCrashSince(key savorystep.Fingerprint, since time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	record := t.records[key]
	return record != nil && !record.lastOwnCrash.IsZero() && !record.lastOwnCrash.Before(since)
}

// lastCrash returns when the last crash of a fingerprint was reported, or the
// zero time. The caller holds mu.
func (t *crashTable) lastCrash(key savorystep.Fingerprint) time.Time {
	var last time.Time
	record := t.records[key]
	if record == nil {
		return last
	}
	for _, reportedAt := range record.reportedAt {
		if reportedAt.After(last) {
			last = reportedAt
		}
	}
	return last
}

// evictOldest deletes the fingerprint with the oldest crash if the table is
// full. The caller holds mu.
func (t *crashTable) evictOldest() {
	if len(t.records) < maxCrashRecords {
		return
	}
	var oldest savorystep.Fingerprint
	var oldestAt time.Time
	for key, record := range t.records {
		for _, reportedAt := range record.reportedAt {
			if oldestAt.IsZero() || reportedAt.Before(oldestAt) {
				oldest, oldestAt = key, reportedAt
			}
		}
	}
	delete(t.records, oldest)
}
