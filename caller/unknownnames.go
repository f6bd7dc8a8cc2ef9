package caller

import (
	"sync"
	"time"

	"savorystep"
)

// UnknownNameCounter counts the unknown names that callers send. It is bounded: a
// new name replaces the least counted one and takes over its count, so that
// frequent names stay and their counts are never too low.
type UnknownNameCounter struct {
	limit int

	mu     sync.Mutex
	counts map[savorystep.Name]uint64
	dirty  map[savorystep.Name]bool
}

// UnknownNameCounterConfig configures an UnknownNames.
type UnknownNameCounterConfig struct {
	// MaxNames is the most names that are counted at once.
	MaxNames int
}

// NewUnknownNameCounter returns an empty counter.
func NewUnknownNameCounter(config UnknownNameCounterConfig) *UnknownNameCounter {
	if config.MaxNames <= 0 {
		config.MaxNames = 256
	}
	return &UnknownNameCounter{
		limit:  config.MaxNames,
		counts: make(map[savorystep.Name]uint64),
		dirty:  make(map[savorystep.Name]bool),
	}
}

// Add counts one use of a name.
func (u *UnknownNameCounter) Add(name savorystep.Name) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if _, ok := u.counts[name]; !ok && len(u.counts) >= u.limit {
		least, count := u.least()
		delete(u.counts, least)
		delete(u.dirty, least)
		u.counts[name] = count
	}
	u.counts[name]++
	u.dirty[name] = true
}

// least returns the name with the lowest count.
func (u *UnknownNameCounter) least() (savorystep.Name, uint64) {
	var least savorystep.Name
	lowest := ^uint64(0)
	for name, count := range u.counts {
		if count < lowest {
			least = name
			lowest = count
		}
	}
	return least, lowest
}

// Count returns how often a name was counted.
func (u *UnknownNameCounter) Count(name savorystep.Name) uint64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.counts[name]
}

// PublishChanged publishes the counts that changed since the last call.
func (u *UnknownNameCounter) PublishChanged(_ time.Time, facts savorystep.Facts) {
	u.mu.Lock()
	changed := make(map[savorystep.Name]uint64, len(u.dirty))
	for name := range u.dirty {
		changed[name] = u.counts[name]
	}
	clear(u.dirty)
	u.mu.Unlock()
	for name, count := range changed {
		facts.Publish(savorystep.FactUnknown, string(name), savorystep.UnknownFact{Count: count})
	}
}
