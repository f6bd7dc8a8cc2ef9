package caller

import (
	"sync"
	"time"

	"savorystep"
)

// An UnknownNameCounter counts the unknown names that callers send, in bounded memory,
// with the Space-Saving algorithm: when it is full, a new name replaces the one with
// the lowest count and continues that count. Frequent names are therefore kept, and a
// count is never too low, but may be too high.
type UnknownNameCounter struct {
	maxNames int

	mu      sync.Mutex
	counts  map[savorystep.Name]uint64
	changed map[savorystep.Name]bool
}

// UnknownNameCounterConfig configures an UnknownNameCounter.
type UnknownNameCounterConfig struct {
	// MaxNames is the maximum number of names that are counted at once. The default is
	// 256.
	MaxNames int
}

// NewUnknownNameCounter returns an empty counter.
func NewUnknownNameCounter(config UnknownNameCounterConfig) *UnknownNameCounter {
	if config.MaxNames <= 0 {
		config.MaxNames = 256
	}
	return &UnknownNameCounter{
		maxNames: config.MaxNames,
		counts:   make(map[savorystep.Name]uint64),
		changed:  make(map[savorystep.Name]bool),
	}
}

// Add counts one lookup of or request to an unknown name.
func (u *UnknownNameCounter) Add(name savorystep.Name) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if _, ok := u.counts[name]; !ok && len(u.counts) >= u.maxNames {
		replaced, replacedCount := u.leastCounted()
		delete(u.counts, replaced)
		delete(u.changed, replaced)
		u.counts[name] = replacedCount
	}
	u.counts[name]++
	u.changed[name] = true
}

// leastCounted returns the name with the lowest count and that count. mu must be held.
func (u *UnknownNameCounter) leastCounted() (savorystep.Name, uint64) {
	var leastName savorystep.Name
	lowestCount := ^uint64(0)
	for name, count := range u.counts {
		if count < lowestCount {
			leastName = name
			lowestCount = count
		}
	}
	return leastName, lowestCount
}

// Count returns the count of a name, 0 if it is not counted.
func (u *UnknownNameCounter) Count(name savorystep.Name) uint64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.counts[name]
}

// PublishChanged publishes the counts that have changed since the last call.
func (u *UnknownNameCounter) PublishChanged(_ time.Time, facts savorystep.Facts) {
	u.mu.Lock()
	counts := make(map[savorystep.Name]uint64, len(u.changed))
	for name := range u.changed {
		counts[name] = u.counts[name]
	}
	clear(u.changed)
	u.mu.Unlock()
	for name, count := range counts {
		facts.Publish(savorystep.FactUnknown, string(name), savorystep.UnknownFact{Count: count})
	}
}
