package peer

import "time"

// A tokenBucket limits the rate of sent bytes. Its refill rate and its capacity
// add up to the budget, so that no period of one second carries more than the
// budget, whenever it starts.
type tokenBucket struct {
	bytesPerSecond float64
	capacity       float64 // In bytes.
	tokens         float64
	refilledAt     time.Time
}

// burstRatio is the part of the budget that may be sent in one burst.
const burstRatio = 0.2

func newTokenBucket(bytesPerSecond int, now time.Time) *tokenBucket {
	capacity := float64(bytesPerSecond) * burstRatio
	return &tokenBucket{bytesPerSecond: float64(bytesPerSecond) - capacity, capacity: capacity, tokens: capacity, refilledAt: now}
}

// available returns how many bytes may be sent now. It is negative after sends
// that exceeded the available bytes.
func (b *tokenBucket) available(now time.Time) int {
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.tokens = min(b.capacity, b.tokens+b.bytesPerSecond*elapsed.Seconds())
		b.refilledAt = now
	}
	return int(b.tokens)
}

// spend deducts sent bytes. The balance may become negative.
func (b *tokenBucket) spend(now time.Time, bytes int) {
	b.available(now)
	b.tokens -= float64(bytes)
}
