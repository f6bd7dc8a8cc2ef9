package caller

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"savorystep"
)

const (
	// slotsPerOwner is how many slots of a service in a region one owner entry
	// keeps in use.
	slotsPerOwner = 256
	// standbys is how many entries follow the owners in a lookup's answer.
	standbys = 3
	// revisionGrace is how long an entry may be behind the newest revision
	// before lookups leave it out. Without it, every change would send all
	// callers to the first entry that has it in force.
	revisionGrace = 5 * time.Second
)

// A Roster ranks the entries for each service and region. It caches rankings
// until the set of eligible entries changes.
type Roster struct {
	members savorystep.Members
	refresh time.Duration

	mu      sync.RWMutex
	checked time.Time
	// revisions lists the newest revisions with when each was first seen.
	revisions []seenRevision
	eligible  []savorystep.Member
	ranked    map[rosterKey]*ranking
}

// A seenRevision is a revision with when it was first seen.
type seenRevision struct {
	revision savorystep.Revision
	seen     time.Time
}

// A rosterKey names a ranking.
type rosterKey struct {
	service savorystep.Service
	region  savorystep.Region
}

// A ranking holds the entries for a service and region, best first.
type ranking struct {
	owners int
	// orders holds the entries once for each owner, with that owner first.
	orders [][]savorystep.Entry
}

// newRanking returns a ranking of entries whose first ones are the owners.
func newRanking(owners int, entries []savorystep.Entry) *ranking {
	found := &ranking{owners: owners, orders: [][]savorystep.Entry{entries}}
	for first := 1; first < min(owners, len(entries)); first++ {
		order := slices.Clone(entries)
		order[0], order[first] = order[first], order[0]
		found.orders = append(found.orders, order)
	}
	return found
}

// RosterConfig configures a Roster.
type RosterConfig struct {
	Members savorystep.Members
	// Refresh is how long the set of eligible entries may be reused.
	Refresh time.Duration
}

// NewRoster returns a roster over the given members.
func NewRoster(config RosterConfig) *Roster {
	if config.Refresh <= 0 {
		config.Refresh = 100 * time.Millisecond
	}
	return &Roster{
		members: config.Members,
		refresh: config.Refresh,
		ranked:  make(map[rosterKey]*ranking),
	}
}

// Entries returns the entries that a caller of the given block should use for
// a service in a region, best first. slots is the number of slots that the
// service has there. The slice must not be changed.
func (r *Roster) Entries(
	service savorystep.Service,
	region savorystep.Region,
	slots savorystep.Slots,
	block savorystep.BlockID,
	now time.Time,
) []savorystep.Entry {
	orders := r.ranking(service, region, slots, now).orders
	return orders[uint32(block)%uint32(len(orders))]
}

// IsOwner reports whether an instance is an owner of a service in a region.
func (r *Roster) IsOwner(
	id savorystep.InstanceID,
	service savorystep.Service,
	region savorystep.Region,
	slots savorystep.Slots,
	now time.Time,
) bool {
	found := r.ranking(service, region, slots, now)
	for _, order := range found.orders {
		if len(order) > 0 && order[0].ID == id {
			return true
		}
	}
	return false
}

// ranking returns the cached ranking or makes it.
func (r *Roster) ranking(
	service savorystep.Service,
	region savorystep.Region,
	slots savorystep.Slots,
	now time.Time,
) *ranking {
	owners := ownerCount(slots)
	key := rosterKey{service: service, region: region}
	r.mu.RLock()
	found, ok := r.ranked[key]
	fresh := now.Sub(r.checked) < r.refresh
	r.mu.RUnlock()
	if ok && fresh && found.owners == owners {
		return found
	}
	return r.makeRanking(key, owners, now)
}

// makeRanking refreshes the eligible entries if needed and ranks them.
func (r *Roster) makeRanking(key rosterKey, owners int, now time.Time) *ranking {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.checked) >= r.refresh {
		r.checked = now
		members := r.members.Members(now)
		eligible := selectEligible(members, r.required(members, now))
		if !sameMembers(eligible, r.eligible) {
			r.eligible = eligible
			clear(r.ranked)
		}
	}
	found, ok := r.ranked[key]
	if ok && found.owners == owners {
		return found
	}
	found = newRanking(owners, rankEntries(r.eligible, key, owners+standbys))
	r.ranked[key] = found
	return found
}

// ownerCount returns how many owners a service with the given slots has.
func ownerCount(slots savorystep.Slots) int {
	return max(1, int((slots+slotsPerOwner-1)/slotsPerOwner))
}

// required returns the revision that entries must have in force: the newest
// one that was first seen at least the grace ago. The caller holds mu.
func (r *Roster) required(members []savorystep.Member, now time.Time) savorystep.Revision {
	var newest savorystep.Revision
	for i := range members {
		newest = max(newest, members[i].Revision)
	}
	if n := len(r.revisions); n == 0 || r.revisions[n-1].revision < newest {
		r.revisions = append(r.revisions, seenRevision{revision: newest, seen: now})
	}
	for len(r.revisions) > 1 && now.Sub(r.revisions[1].seen) >= revisionGrace {
		r.revisions = r.revisions[1:]
	}
	first := r.revisions[0]
	if now.Sub(first.seen) < revisionGrace {
		return 0
	}
	return first.revision
}

// selectEligible returns the members that lookups may name: ready, not
// leaving and not suspecting their own link. Members behind the required
// revision are left out, unless that would leave none.
func selectEligible(members []savorystep.Member, required savorystep.Revision) []savorystep.Member {
	able := make([]savorystep.Member, 0, len(members))
	for _, member := range members {
		if member.Ready && !member.Leaving {
			able = append(able, member)
		}
	}
	able = prefer(able, func(m *savorystep.Member) bool { return !m.LinkSuspect })
	return prefer(able, func(m *savorystep.Member) bool { return m.Revision >= required })
}

// prefer returns the members that meet the test, or all if none does.
func prefer(members []savorystep.Member, test func(*savorystep.Member) bool) []savorystep.Member {
	kept := 0
	for i := range members {
		if test(&members[i]) {
			kept++
		}
	}
	if kept == 0 || kept == len(members) {
		return members
	}
	left := make([]savorystep.Member, 0, kept)
	for i := range members {
		if test(&members[i]) {
			left = append(left, members[i])
		}
	}
	return left
}

// sameMembers reports whether both lists hold the same instances at the same
// addresses.
func sameMembers(a, b []savorystep.Member) bool {
	return slices.EqualFunc(a, b, func(x, y savorystep.Member) bool {
		return x.Instance.ID == y.Instance.ID && x.Instance.CallerAddress == y.Instance.CallerAddress
	})
}

// rankEntries returns the best entries for a key. Entries in the region come
// before all others, which are ranked only if there are too few in the region.
func rankEntries(members []savorystep.Member, key rosterKey, limit int) []savorystep.Entry {
	entries := appendRanked(nil, members, key, limit, func(region savorystep.Region) bool { return region == key.region })
	if len(entries) < limit {
		entries = appendRanked(entries, members, key, limit, func(region savorystep.Region) bool { return region != key.region })
	}
	return entries
}

// appendRanked appends the best entries of the regions that are wanted, up to
// limit entries in all.
func appendRanked(
	entries []savorystep.Entry,
	members []savorystep.Member,
	key rosterKey,
	limit int,
	wanted func(region savorystep.Region) bool,
) []savorystep.Entry {
	type scored struct {
		index int
		score uint64
	}
	var all []scored
	for i := range members {
		instance := &members[i].Instance
		if wanted(instance.Place.Region) {
			all = append(all, scored{index: i, score: rankScore(key.service, key.region, instance.ID)})
		}
	}
	slices.SortFunc(all, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	for i := 0; i < len(all) && len(entries) < limit; i++ {
		instance := &members[all[i].index].Instance
		entries = append(entries, savorystep.Entry{ID: instance.ID, Address: instance.CallerAddress, Zone: instance.Place.Zone})
	}
	return entries
}
