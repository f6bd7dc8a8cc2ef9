package upstream

import (
	"sync"
	"time"

	"savorystep"
)

const (
	// strikeAge is how long a strike counts.
	crashTTL = 10 * time.Minute
	// maxStruck bounds the fingerprints with strikes kept in memory. Each
	// strike stands for a dead upstream, so the bound is far above what
	// happens in strikeAge.
	maxCrashRecords = 10_000
)

// strikes holds the endpoints that died while they ran a fingerprint. An
// endpoint counts once, whichever instances had requests on it.
type crashTable struct {
	mu      sync.Mutex
	records map[savorystep.Fingerprint]*crashRecord
}

// A struck is what is known about one fingerprint.
type crashRecord struct {
	// deaths holds when the death of each endpoint was heard.
	crashedAt map[savorystep.EndpointID]time.Time
	// own lists the endpoints that this instance states, the last one since
	// ownLast.
	ownCrashes   []savorystep.EndpointID
	lastOwnCrash time.Time
}

func newCrashTable() *crashTable {
	return &crashTable{records: make(map[savorystep.Fingerprint]*crashRecord)}
}

// total returns the strikes of a fingerprint.
func (s *crashTable) total(key savorystep.Fingerprint, now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.countLocked(key, now)
}

// count returns the strikes of a fingerprint and forgets expired ones. The
// caller holds mu.
func (s *crashTable) countLocked(key savorystep.Fingerprint, now time.Time) int {
	record := s.records[key]
	if record == nil {
		return 0
	}
	for endpoint, crashedAt := range record.crashedAt {
		if now.Sub(crashedAt) > crashTTL {
			delete(record.crashedAt, endpoint)
		}
	}
	if len(record.crashedAt) == 0 {
		delete(s.records, key)
	}
	return len(record.crashedAt)
}

// add counts a death that this instance saw and returns all endpoints that it
// states.
func (s *crashTable) addOwn(key savorystep.Fingerprint, endpoint savorystep.EndpointID, now time.Time) []savorystep.EndpointID {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.countLocked(key, now)
	record := s.recordCrash(key, endpoint, now)
	record.ownCrashes = append(record.ownCrashes, endpoint)
	record.lastOwnCrash = now
	return append([]savorystep.EndpointID(nil), record.ownCrashes...)
}

// hear takes note of the deaths that another instance saw.
func (s *crashTable) addFromPeer(key savorystep.Fingerprint, endpoints []savorystep.EndpointID, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, endpoint := range endpoints {
		s.recordCrash(key, endpoint, now)
	}
}

// note keeps the time at which a death was first heard. The caller holds mu.
func (s *crashTable) recordCrash(key savorystep.Fingerprint, endpoint savorystep.EndpointID, now time.Time) *crashRecord {
	record := s.records[key]
	if record == nil {
		s.evictOldest()
		record = &crashRecord{crashedAt: make(map[savorystep.EndpointID]time.Time)}
		s.records[key] = record
	}
	if _, ok := record.crashedAt[endpoint]; !ok {
		record.crashedAt[endpoint] = now
	}
	return record
}

// clear forgets the strikes of a fingerprint.
func (s *crashTable) clear(key savorystep.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.records, key)
}

// clearBefore forgets the strikes of a fingerprint if all are older than the
// given time. It reports whether there were any to forget.
func (s *crashTable) clearBefore(key savorystep.Fingerprint, cutoff time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.lastCrash(key)
	if last.IsZero() || !last.Before(cutoff) {
		return false
	}
	delete(s.records, key)
	return true
}

// ownSince reports whether this instance saw a death with a fingerprint at or
// after the given time. Deaths that peers saw do not count here: they may be
// heard late, after the attempt that they should have kept back.
func (s *crashTable) ownCrashSince(key savorystep.Fingerprint, since time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := s.records[key]
	return record != nil && !record.lastOwnCrash.IsZero() && !record.lastOwnCrash.Before(since)
}

// last returns when the last strike of a fingerprint was heard, or zero. The
// caller holds mu.
func (s *crashTable) lastCrash(key savorystep.Fingerprint) time.Time {
	var last time.Time
	record := s.records[key]
	if record == nil {
		return last
	}
	for _, crashedAt := range record.crashedAt {
		if crashedAt.After(last) {
			last = crashedAt
		}
	}
	return last
}

// makeRoom forgets the fingerprint with the oldest strike if the table is
// full. The caller holds mu.
func (s *crashTable) evictOldest() {
	if len(s.records) < maxCrashRecords {
		return
	}
	var oldest savorystep.Fingerprint
	var oldestAt time.Time
	for key, record := range s.records {
		for _, crashedAt := range record.crashedAt {
			if oldestAt.IsZero() || crashedAt.Before(oldestAt) {
				oldest, oldestAt = key, crashedAt
			}
		}
	}
	delete(s.records, oldest)
}
