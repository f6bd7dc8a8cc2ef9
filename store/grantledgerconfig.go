package store

import (
	"time"

	"savorystep"
)

// The defaults of a GrantLedgerConfig.
const (
	// DefaultGrantLifetime bounds how long a failed holder keeps its units.
	DefaultGrantLifetime = 30 * time.Second
	// DefaultReclaimMargin covers a rate difference of 8% between two monotonic
	// clocks over grant lifetime and maximum request time, and the time between
	// the last check of a permit and the first byte of the request.
	DefaultReclaimMargin = 5 * time.Second
	// DefaultMaxRequestTime is how long a request in flight may outlive its
	// grant.
	DefaultMaxRequestTime = 30 * time.Second
	// DefaultFloorSlotCount is the number of floor slots of a budget.
	DefaultFloorSlotCount = 16
)

// A GrantLedgerConfig configures a GrantLedger. All instances must use the same
// values, except for Self.
type GrantLedgerConfig struct {
	// Self is the instance for which the ledger decides.
	Self savorystep.InstanceID
	// GrantLifetime is how long a grant may be used, counted on the holder's
	// monotonic clock from before the write that granted it.
	GrantLifetime time.Duration
	// ReclaimMargin is added to the lifetime before a grant is reclaimed.
	ReclaimMargin time.Duration
	// MaxRequestTime bounds the time from the first byte of a request to its
	// end. It is added before a grant is reclaimed from a holder that the
	// platform does not list as ended.
	MaxRequestTime time.Duration
	// FloorSlotCount is the number of floor slots of each budget.
	FloorSlotCount int
}

// withDefaults returns the configuration with zero values replaced by the
// defaults.
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

// restoreWindow is how long after a restore of the table was noticed its row may lack
// units that others use: until their grants and the requests under them have ended,
// and those with floor slots, which do not end, have noticed the restore.
func (c *GrantLedgerConfig) restoreWindow() time.Duration {
	return c.reclaimAfter(false) + c.GrantLifetime
}

// renewalAge is the age at which a grant is renewed. Two renewals may fail
// before the grant expires.
func (c *GrantLedgerConfig) renewalAge() time.Duration {
	return c.GrantLifetime / 3
}

// piggybackRenewalAge is the age from which a grant is renewed in a transaction
// that is sent anyway, so that one transaction renews the grants of several
// budgets.
func (c *GrantLedgerConfig) piggybackRenewalAge() time.Duration {
	return c.GrantLifetime / 6
}

// minWriteInterval is the minimum time between two writes that only return
// units or only record a larger demand. It bounds the write rate of a contended
// budget.
func (c *GrantLedgerConfig) minWriteInterval() time.Duration {
	return c.GrantLifetime / 60
}

// reclaimAfter is how long the same nonce must have been seen before the grant
// is reclaimed.
//
// A holder that is cut off from the table uses its grant until the grant
// expires, and a request sent just before may load an upstream for the maximum
// request time. That time is added unless the platform lists the holder as
// ended: the connections of an ended process are closed, so its requests are
// over.
func (c *GrantLedgerConfig) reclaimAfter(holderEnded bool) time.Duration {
	if holderEnded {
		return c.GrantLifetime + c.ReclaimMargin
	}
	return c.GrantLifetime + c.ReclaimMargin + c.MaxRequestTime
}
