package peer

import "time"

// A tokenBucket limits the bytes sent. Its rate and its capacity add up to
// the budget, so no second carries more than the budget, whatever its start.
type tokenBucket struct {
	rate     float64 // Bytes per second.
	capacity float64 // Bytes.
	tokens   float64
	last     time.Time
}

// burstShare is the part of the budget that may be sent at once.
const burstShare = 0.2

func newTokenBucket(budget int, now time.Time) *tokenBucket {
	capacity := float64(budget) * burstShare
	return &tokenBucket{rate: float64(budget) - capacity, capacity: capacity, tokens: capacity, last: now}
}

// available returns how many bytes may be sent now. It is negative after
// forced sends.
func (b *tokenBucket) available(now time.Time) int {
	if elapsed := now.Sub(b.last); elapsed > 0 {
		b.tokens = min(b.capacity, b.tokens+b.rate*elapsed.Seconds())
		b.last = now
	}
	return int(b.tokens)
}

// spend takes bytes, which may leave a debt.
func (b *tokenBucket) spend(now time.Time, bytes int) {
	b.available(now)
	b.tokens -= float64(bytes)
}
