package endpoint

import "time"

// windowBuckets is the number of buckets of a window. One more bucket is counted,
// since the window slides by whole buckets.
const windowBuckets = 20

// A windowCounter counts events over a sliding window.
type windowCounter struct {
	bucketWidth time.Duration
	// origin is the time of the first event, from which the buckets are numbered.
	// Subtracting it from other times uses the monotonic clock.
	origin time.Time
	// newest is the number of the newest bucket.
	newest int64
	counts [windowBuckets + 1]int
	total  int
}

func newWindowCounter(window time.Duration) windowCounter {
	return windowCounter{bucketWidth: max(window/windowBuckets, time.Millisecond)}
}

// advance returns the index of the current bucket and clears the buckets that are
// no longer in the window.
func (c *windowCounter) advance(now time.Time) int {
	const size = windowBuckets + 1
	if c.origin.IsZero() {
		c.origin = now
	}
	current := max(c.newest, int64(now.Sub(c.origin)/c.bucketWidth))
	if current-c.newest > size {
		c.newest = current - size
	}
	for ; c.newest < current; c.newest++ {
		i := (c.newest + 1) % size
		c.total -= c.counts[i]
		c.counts[i] = 0
	}
	return int(current % size)
}

// add counts an event.
func (c *windowCounter) add(now time.Time) {
	c.counts[c.advance(now)]++
	c.total++
}

// remove removes an event that was counted at a time.
func (c *windowCounter) remove(now, at time.Time) {
	const size = windowBuckets + 1
	c.advance(now)
	bucket := int64(at.Sub(c.origin) / c.bucketWidth)
	if at.Before(c.origin) || bucket <= c.newest-size || c.counts[bucket%size] == 0 {
		return
	}
	c.counts[bucket%size]--
	c.total--
}

// sumSince returns the number of events in the newest part of the window.
func (c *windowCounter) sumSince(now time.Time, span time.Duration) int {
	const size = windowBuckets + 1
	c.advance(now)
	sum := 0
	for bucket := max(0, c.newest-int64(span/c.bucketWidth)+1); bucket <= c.newest; bucket++ {
		sum += c.counts[bucket%size]
	}
	return sum
}

// fallsBelow returns when the window has less than count events, if none are added. It
// returns the zero time if it has less now.
func (c *windowCounter) fallsBelow(now time.Time, count int) time.Time {
	const size = windowBuckets + 1
	c.advance(now)
	left := c.total
	if left < count {
		return time.Time{}
	}
	bucket := max(0, c.newest-windowBuckets)
	for ; bucket < c.newest; bucket++ {
		left -= c.counts[bucket%size]
		if left < count {
			break
		}
	}
	return c.origin.Add(time.Duration(bucket+size) * c.bucketWidth)
}

// sum returns the number of events in the window.
func (c *windowCounter) sum(now time.Time) int {
	c.advance(now)
	return c.total
}
