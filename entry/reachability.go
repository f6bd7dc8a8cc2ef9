package entry

import (
	"errors"
	"time"

	"savorystep"
)

// unreachableDuration is how long other entries are preferred after a connection to an
// entry failed. It equals the TTL of lookup responses, after which a failed entry is no
// longer in them.
const unreachableDuration = 5 * time.Second

// errUnreachable is the cause of the error of an attempt that got no connection to its
// entry.
var errUnreachable = errors.New("can't connect")

// isUnreachable reports whether err is that of an attempt that got no connection to its
// entry.
func isUnreachable(err error) bool {
	return errors.Is(err, errUnreachable)
}

// markUnreachable makes the client prefer other entries for unreachableDuration.
func (c *Client) markUnreachable(address savorystep.Address) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unreachableUntil[address] = c.config.Clock.Now().Add(unreachableDuration)
}

// pickEntry returns the entry for the given attempt, the first of which is 0. It picks
// from the given entries that are not marked unreachable, or else from the other known
// addresses, since every entry serves every service, or else from all given entries. It
// returns false if there are no given entries.
func (c *Client) pickEntry(entries []savorystep.Entry, attempt int) (savorystep.Entry, bool) {
	if len(entries) == 0 {
		return savorystep.Entry{}, false
	}
	now := c.config.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	reachable := c.filterReachable(now, entries)
	if len(reachable) == 0 {
		for _, address := range c.knownAddresses {
			if !now.Before(c.unreachableUntil[address]) {
				reachable = append(reachable, savorystep.Entry{Address: address})
			}
		}
	}
	if len(reachable) == 0 {
		reachable = entries
	}
	return reachable[attempt%len(reachable)], true
}

// filterReachable returns the entries that are not marked unreachable. The caller holds
// mu.
func (c *Client) filterReachable(now time.Time, entries []savorystep.Entry) []savorystep.Entry {
	reachable := make([]savorystep.Entry, 0, len(entries))
	for _, entry := range entries {
		if !now.Before(c.unreachableUntil[entry.Address]) {
			reachable = append(reachable, entry)
		}
	}
	return reachable
}

// shouldRefresh reports whether to look a cached name up again before its response
// expires, because all its entries are marked unreachable. It returns true at most once
// per minRefreshInterval.
func (c *Client) shouldRefresh(now time.Time, name savorystep.Name) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	cached, ok := c.cache[name]
	if !ok || now.Sub(cached.refreshedAt) < minRefreshInterval || len(c.filterReachable(now, cached.Entries)) > 0 {
		return false
	}
	cached.refreshedAt = now
	c.cache[name] = cached
	return true
}

// addressesByReachability returns the known addresses, those marked unreachable last. The
// caller holds mu.
func (c *Client) addressesByReachability(now time.Time) []savorystep.Address {
	addresses := make([]savorystep.Address, 0, len(c.knownAddresses))
	var unreachable []savorystep.Address
	for _, address := range c.knownAddresses {
		if now.Before(c.unreachableUntil[address]) {
			unreachable = append(unreachable, address)
		} else {
			addresses = append(addresses, address)
		}
	}
	return append(addresses, unreachable...)
}
