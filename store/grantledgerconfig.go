package store

import (
	"time"

	"savorystep"
)

// The defaults of a LedgerConfig.
const (
	// DefaultGrantLifetime bounds how long a dead holder keeps units.
	DefaultGrantLifetime = 30 * time.Second
	// DefaultGrantGuard covers the difference in rate of two monotonic clocks
	// over lifetime and request time (8%), and the time between the last check
	// of a hold and the first byte.
	DefaultReclaimMargin = 5 * time.Second
	// DefaultGrantRequestTime is the longest time that a request in flight may
	// outlive its grant.
	DefaultMaxRequestTime = 30 * time.Second
	// DefaultFloorSlots is the number of floor slots of a budget.
	DefaultFloorSlotCount = 16
)

// A LedgerConfig holds the settings of a GrantLedger. All instances must use
// the same values.
type GrantLedgerConfig struct {
	// Self is the instance that the ledger decides for.
	Self savorystep.InstanceID
	// Lifetime is how long a grant may be used, counted on the holder's
	// monotonic clock from before the write that gave it.
	GrantLifetime time.Duration
	// Guard is added to the lifetime before a grant is reclaimed.
	ReclaimMargin time.Duration
	// RequestTime is the longest time from the first byte of a request to its
	// end. It is added before the grant of a holder is reclaimed that is not
	// listed as ended.
	MaxRequestTime time.Duration
	// FloorSlots is the number of floor slots of each budget.
	FloorSlotCount int
}

// withDefaults returns the configuration with defaults in place of zero
// values.
func (c GrantLedgerConfig) withDefaults() GrantLedgerConfig {
	if c.GrantLifetime == 0 {
		c.GrantLifetime = DefaultGrantLifetime
	}
	if c.ReclaimMargin == 0 {
		c.ReclaimMargin = DefaultReclaimMargin
	}
	if c.MaxRequestTime == 0 {
		c.MaxRequestTime = DefaultMaxRequestTime
	}
	if c.FloorSlotCount == 0 {
		c.FloorSlotCount = DefaultFloorSlotCount
	}
	return c
}

// renewAfter is the age at which a grant is renewed. Two renewals may fail
// before the grant expires.
func (c *GrantLedgerConfig) renewalAge() time.Duration {
	return c.GrantLifetime / 3
}

// batchAfter is the age from which a grant is renewed along with another one
// that is due, so that one transaction renews the grants of several budgets.
func (c *GrantLedgerConfig) piggybackRenewalAge() time.Duration {
	return c.GrantLifetime / 6
}

// pace is the least time between two writes that only give units back or only
// record a larger want. It bounds the writes of a contended budget.
func (c *GrantLedgerConfig) minWriteInterval() time.Duration {
	return c.GrantLifetime / 60
}

// lapseAfter is how long the same nonce must have been seen before the grant
// is reclaimed.
//
// A holder that is cut off uses its grant until it expires, and a request that
// was sent just before may still occupy an upstream for the request time. The
// request time is added unless the platform lists the holder as ended: the
// connections of an ended process are closed, so its requests are over.
func (c *GrantLedgerConfig) reclaimAfter(holderEnded bool) time.Duration {
	if holderEnded {
		return c.GrantLifetime + c.ReclaimMargin
	}
	return c.GrantLifetime + c.ReclaimMargin + c.MaxRequestTime
}
