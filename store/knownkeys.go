package store

import (
	"sync"
	"time"

	"savorystep"
)

const (
	// maxKnownKeys bounds the keys in each of the two generations of knownKeys.
	maxKnownKeys = 16384
	// maxKnownResponseBytes bounds the response of a known key. A completed key with a
	// longer one is written again as permitted, so that its response is lost, but
	// it does not run again.
	maxKnownResponseBytes = 512
	// maxKnownAge is how long before a restore the lost changes may begin, and how
	// long an attempt that was seen before counts although its row is lost.
	maxKnownAge = 10 * time.Minute
)

// A knownKey is the latest row of a key that an attempt of this instance has written
// or is writing.
type knownKey struct {
	keyRow
	writtenAt time.Time
}

// knownKeys holds the keys for which this instance gave permissions lately, so that
// their rows can be written again if the table loses them. Like seenRows, it evicts
// the older of two generations.
type knownKeys struct {
	// added is signalled when a key is added or replaced.
	added chan struct{}

	mu           sync.Mutex
	newer, older map[savorystep.RowKey]knownKey
	addedAt      time.Time
}

func newKnownKeys() *knownKeys {
	return &knownKeys{added: make(chan struct{}, 1), newer: make(map[savorystep.RowKey]knownKey)}
}

// put adds a key.
func (k *knownKeys) put(key savorystep.RowKey, value keyRow, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.insert(key, value, now)
}

// putReleased adds a key that an abandoned attempt is about to release, unless an
// attempt of this instance is known that holds the key or had it no earlier.
func (k *knownKeys) putReleased(key savorystep.RowKey, value keyRow, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if current, ok := k.lookup(key); !ok || current.State == keyReleased && current.Sequence < value.Sequence {
		k.insert(key, value, now)
	}
}

// update replaces a key if it still belongs to the attempt and the response is not too
// long.
func (k *knownKeys) update(key savorystep.RowKey, value keyRow, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	isLong := value.StoredResponse != nil && value.StoredResponse.size() > maxKnownResponseBytes
	if current, ok := k.lookup(key); ok && current.Attempt == value.Attempt && !isLong {
		k.insert(key, value, now)
	}
}

// remove deletes a key of an attempt.
func (k *knownKeys) remove(key savorystep.RowKey, attempt savorystep.AttemptID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if current, ok := k.lookup(key); ok && current.Attempt == attempt {
		delete(k.newer, key)
		delete(k.older, key)
	}
}

// get returns a key that is not older than maxKnownAge.
func (k *knownKeys) get(key savorystep.RowKey, now time.Time) (knownKey, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	known, ok := k.lookup(key)
	return known, ok && now.Sub(known.writtenAt) < maxKnownAge
}

// keys returns all keys that are not older than maxKnownAge.
func (k *knownKeys) keys(now time.Time) []savorystep.RowKey {
	k.mu.Lock()
	defer k.mu.Unlock()
	var keys []savorystep.RowKey
	for _, generation := range []map[savorystep.RowKey]knownKey{k.older, k.newer} {
		for key, known := range generation {
			if now.Sub(known.writtenAt) < maxKnownAge {
				keys = append(keys, key)
			}
		}
	}
	return keys
}

// isEmpty reports whether no key is as young as maxKnownAge.
func (k *knownKeys) isEmpty(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return now.Sub(k.addedAt) >= maxKnownAge
}

// insert adds or replaces a key. The caller holds mu.
func (k *knownKeys) insert(key savorystep.RowKey, value keyRow, now time.Time) {
	if _, ok := k.newer[key]; !ok && len(k.newer) >= maxKnownKeys {
		k.older = k.newer
		k.newer = make(map[savorystep.RowKey]knownKey)
	}
	delete(k.older, key)
	k.newer[key] = knownKey{keyRow: value, writtenAt: now}
	k.addedAt = now
	select {
	case k.added <- struct{}{}:
	default: // The signal is already pending.
	}
}

func (k *knownKeys) lookup(key savorystep.RowKey) (knownKey, bool) {
	known, ok := k.newer[key]
	if !ok {
		known, ok = k.older[key]
	}
	return known, ok
}

// size returns the approximate size of a response in bytes.
func (r *storedResponse) size() int {
	size := len(r.Body)
	for name, values := range r.Header {
		size += len(name)
		for _, value := range values {
			size += len(value)
		}
	}
	return size
}
