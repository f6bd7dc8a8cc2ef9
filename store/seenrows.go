package store

import (
	"sync"
	"time"

	"savorystep"
)

// maxSeen bounds each of the two generations of seen rows.
const maxSeenRows = 16384

// A seenRow is a row version with the time at which it was first seen.
type seenRow struct {
	version   savorystep.RowVersion
	firstSeen time.Time
}

// seenRows remembers since when the rows of other attempts have had their
// versions. When the newer generation is full it becomes the older one, whose
// rows are forgotten; a forgotten row counts as new again.
type seenRows struct {
	mu           sync.Mutex
	newer, older map[savorystep.RowKey]seenRow
}

func newSeenRows() *seenRows {
	return &seenRows{newer: make(map[savorystep.RowKey]seenRow)}
}

// since returns when the row was first seen at its version.
func (s *seenRows) firstSeen(row savorystep.Row, now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen, ok := s.lookup(row.Key)
	if !ok || seen.version != row.Version {
		seen = seenRow{version: row.Version, firstSeen: now}
	}
	if _, ok := s.newer[row.Key]; !ok && len(s.newer) >= maxSeenRows {
		s.older = s.newer
		s.newer = make(map[savorystep.RowKey]seenRow)
	}
	s.newer[row.Key] = seen
	return seen.firstSeen
}

// has reports whether an attempt of another instance was seen at the row.
func (s *seenRows) contains(key savorystep.RowKey) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.lookup(key)
	return ok
}

// forget drops a row that no longer holds an attempt.
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
