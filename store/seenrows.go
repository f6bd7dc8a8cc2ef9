package store

import (
	"sync"
	"time"

	"savorystep"
)

// maxSeenRows bounds the rows in each of the two generations of seenRows.
const maxSeenRows = 16384

// A seenRow is a row version and the time when it was first seen.
type seenRow struct {
	version   savorystep.RowVersion
	era       savorystep.StoreEra
	attempt   savorystep.AttemptID
	sequence  keySequence
	firstSeen time.Time
}

// seenRows records since when the rows of other attempts have had their
// versions. It keeps two generations: when the newer one is full, it replaces
// the older one, whose rows are evicted. An evicted row counts as new when it
// is seen again.
type seenRows struct {
	mu           sync.Mutex
	newer, older map[savorystep.RowKey]seenRow
}

func newSeenRows() *seenRows {
	return &seenRows{newer: make(map[savorystep.RowKey]seenRow)}
}

// firstSeen returns when the row of an attempt was first seen at its version.
func (s *seenRows) firstSeen(row savorystep.Row, value keyRow, now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen, ok := s.lookup(row.Key)
	if !ok || seen.version != row.Version || seen.era != row.Era.OrFirst() {
		seen = seenRow{version: row.Version, era: row.Era.OrFirst(), attempt: value.Attempt, sequence: value.Sequence, firstSeen: now}
	}
	if _, ok := s.newer[row.Key]; !ok && len(s.newer) >= maxSeenRows {
		s.older = s.newer
		s.newer = make(map[savorystep.RowKey]seenRow)
	}
	s.newer[row.Key] = seen
	return seen.firstSeen
}

// contains reports whether an attempt of another instance was seen at the row.
func (s *seenRows) contains(key savorystep.RowKey) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.lookup(key)
	return ok
}

// isOutdated reports whether an attempt was seen at the row in an earlier era.
func (s *seenRows) isOutdated(key savorystep.RowKey, era savorystep.StoreEra) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen, ok := s.lookup(key)
	return ok && seen.era < era
}

// isLost reports whether an attempt was seen at a row in an earlier era, after the
// given time, that neither released the row nor was followed by the attempt that did.
func (s *seenRows) isLost(row savorystep.Row, released keyRow, after time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen, ok := s.lookup(row.Key)
	return ok && seen.era < row.Era.OrFirst() && seen.firstSeen.After(after) &&
		seen.attempt != released.Attempt && seen.sequence >= released.Sequence
}

// remove deletes a row that no longer holds an attempt.
func (s *seenRows) remove(key savorystep.RowKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.newer, key)
	delete(s.older, key)
}

func (s *seenRows) lookup(key savorystep.RowKey) (seenRow, bool) {
	seen, ok := s.newer[key]
	if !ok {
		seen, ok = s.older[key]
	}
	return seen, ok
}
