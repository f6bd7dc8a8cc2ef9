package caller

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"savorystep"
)

const (
	// slotsPerOwner is the number of slots of a service in a region for which one
	// owner entry is sufficient.
	slotsPerOwner = 256
	// standbyCount is the number of entries after the owners in a lookup response.
	// Callers use them if the owners can't be reached.
	standbyCount = 3
	// revisionGracePeriod is how long an entry may lag behind the newest revision
	// before it is excluded from lookup responses. Without it, every configuration
	// change would send all callers to the first entry that has applied it.
	revisionGracePeriod = 5 * time.Second
)

// An EntryRanker ranks the entries for each service and region by rendezvous hashing.
// It caches the rankings until the set of eligible entries changes.
type EntryRanker struct {
	members         savorystep.Members
	refreshInterval time.Duration

	mu          sync.RWMutex
	refreshedAt time.Time
	// newestRevisions holds revisions that were the newest of all members, in the
	// order in which they were first observed. See requiredRevision.
	newestRevisions []observedRevision
	eligible        []savorystep.Member
	rankings        map[rankingKey]*ranking
}

// An observedRevision is a revision and the time at which this instance first observed
// it as the newest one.
type observedRevision struct {
	revision    savorystep.Revision
	firstSeenAt time.Time
}

// A rankingKey identifies a ranking.
type rankingKey struct {
	service savorystep.Service
	region  savorystep.Region
}

// A ranking holds the owner and standby entries for a service and region.
type ranking struct {
	ownerCount int
	// entriesByOwner holds one list of the entries for each owner, which is first in
	// its list.
	entriesByOwner [][]savorystep.Entry
}

// newRanking returns a ranking of entries, the first ownerCount of which are the owners.
func newRanking(ownerCount int, entries []savorystep.Entry) *ranking {
	result := &ranking{ownerCount: ownerCount, entriesByOwner: [][]savorystep.Entry{entries}}
	for owner := 1; owner < min(ownerCount, len(entries)); owner++ {
		order := slices.Clone(entries)
		order[0], order[owner] = order[owner], order[0]
		result.entriesByOwner = append(result.entriesByOwner, order)
	}
	return result
}

// EntryRankerConfig configures an EntryRanker.
type EntryRankerConfig struct {
	Members savorystep.Members
	// RefreshInterval is the time for which the set of eligible entries is cached. The
	// default is 100 ms.
	RefreshInterval time.Duration
}

// NewEntryRanker returns a ranker of the members in config.
func NewEntryRanker(config EntryRankerConfig) *EntryRanker {
	if config.RefreshInterval <= 0 {
		config.RefreshInterval = 100 * time.Millisecond
	}
	return &EntryRanker{
		members:         config.Members,
		refreshInterval: config.RefreshInterval,
		rankings:        make(map[rankingKey]*ranking),
	}
}

// Entries returns the entries for a caller in the given block to use for a service in a
// region, in order of preference. slots is the number of slots of the service in the
// region. The returned slice is shared and must not be modified.
func (r *EntryRanker) Entries(
	service savorystep.Service,
	region savorystep.Region,
	slots savorystep.Slots,
	block savorystep.BlockID,
	now time.Time,
) []savorystep.Entry {
	orders := r.rankingFor(service, region, slots, now).entriesByOwner
	return orders[uint32(block)%uint32(len(orders))]
}

// IsOwner reports whether an instance is an owner of a service in a region. slots is the
// number of slots of the service in the region.
func (r *EntryRanker) IsOwner(
	id savorystep.InstanceID,
	service savorystep.Service,
	region savorystep.Region,
	slots savorystep.Slots,
	now time.Time,
) bool {
	ranked := r.rankingFor(service, region, slots, now)
	for _, order := range ranked.entriesByOwner {
		if len(order) > 0 && order[0].ID == id {
			return true
		}
	}
	return false
}

// rankingFor returns the ranking for a service and region, from the cache unless the
// eligible entries have to be refreshed.
func (r *EntryRanker) rankingFor(
	service savorystep.Service,
	region savorystep.Region,
	slots savorystep.Slots,
	now time.Time,
) *ranking {
	ownerCount := countOwners(slots)
	key := rankingKey{service: service, region: region}
	r.mu.RLock()
	cached, ok := r.rankings[key]
	isFresh := now.Sub(r.refreshedAt) < r.refreshInterval
	r.mu.RUnlock()
	if ok && isFresh && cached.ownerCount == ownerCount {
		return cached
	}
	return r.refreshAndRank(key, ownerCount, now)
}

// refreshAndRank updates the eligible entries if RefreshInterval has passed, and returns
// the ranking for key, which it computes if it is not cached.
func (r *EntryRanker) refreshAndRank(key rankingKey, ownerCount int, now time.Time) *ranking {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.refreshedAt) >= r.refreshInterval {
		r.refreshedAt = now
		members := r.members.Members(now)
		eligible := selectEligible(members, r.requiredRevision(members, now))
		if !sameInstances(eligible, r.eligible) {
			r.eligible = eligible
			clear(r.rankings)
		}
	}
	result, ok := r.rankings[key]
	if ok && result.ownerCount == ownerCount {
		return result
	}
	result = newRanking(ownerCount, rankEntries(r.eligible, key, ownerCount+standbyCount))
	r.rankings[key] = result
	return result
}

// countOwners returns the number of owners of a service with the given slots in a region.
func countOwners(slots savorystep.Slots) int {
	return max(1, int((slots+slotsPerOwner-1)/slotsPerOwner))
}

// requiredRevision returns the revision that an entry must have reached to be eligible:
// the newest one that was first observed at least revisionGracePeriod ago, or 0. It
// updates newestRevisions. mu must be held.
func (r *EntryRanker) requiredRevision(members []savorystep.Member, now time.Time) savorystep.Revision {
	var newest savorystep.Revision
	for i := range members {
		newest = max(newest, members[i].Revision)
	}
	if n := len(r.newestRevisions); n == 0 || r.newestRevisions[n-1].revision < newest {
		r.newestRevisions = append(r.newestRevisions, observedRevision{revision: newest, firstSeenAt: now})
	}
	for len(r.newestRevisions) > 1 && now.Sub(r.newestRevisions[1].firstSeenAt) >= revisionGracePeriod {
		r.newestRevisions = r.newestRevisions[1:]
	}
	oldest := r.newestRevisions[0]
	if now.Sub(oldest.firstSeenAt) < revisionGracePeriod {
		return 0
	}
	return oldest.revision
}

// selectEligible returns the members that lookup responses may contain: those that are
// ready and not leaving. Members that suspect their own network link are excluded, and
// then those whose revision is below requiredRevision, each unless no member would
// remain.
func selectEligible(members []savorystep.Member, requiredRevision savorystep.Revision) []savorystep.Member {
	eligible := make([]savorystep.Member, 0, len(members))
	for _, member := range members {
		if member.Ready && !member.Leaving {
			eligible = append(eligible, member)
		}
	}
	eligible = filterUnlessEmpty(eligible, func(m *savorystep.Member) bool { return !m.LinkSuspect })
	return filterUnlessEmpty(eligible, func(m *savorystep.Member) bool { return m.Revision >= requiredRevision })
}

// filterUnlessEmpty returns the members for which matches returns true, or all members if
// there are none.
func filterUnlessEmpty(members []savorystep.Member, matches func(*savorystep.Member) bool) []savorystep.Member {
	matching := 0
	for i := range members {
		if matches(&members[i]) {
			matching++
		}
	}
	if matching == 0 || matching == len(members) {
		return members
	}
	filtered := make([]savorystep.Member, 0, matching)
	for i := range members {
		if matches(&members[i]) {
			filtered = append(filtered, members[i])
		}
	}
	return filtered
}

// sameInstances reports whether a and b contain the same instances with the same
// addresses in the same order.
func sameInstances(a, b []savorystep.Member) bool {
	return slices.EqualFunc(a, b, func(memberA, memberB savorystep.Member) bool {
		return memberA.Instance.ID == memberB.Instance.ID && memberA.Instance.CallerAddress == memberB.Instance.CallerAddress
	})
}

// rankEntries returns the limit entries with the highest scores for key. Entries in the
// region of key come first; others are used only if the region has fewer than limit.
func rankEntries(members []savorystep.Member, key rankingKey, limit int) []savorystep.Entry {
	entries := appendRanked(nil, members, key, limit, func(region savorystep.Region) bool { return region == key.region })
	if len(entries) < limit {
		entries = appendRanked(entries, members, key, limit, func(region savorystep.Region) bool { return region != key.region })
	}
	return entries
}

// appendRanked appends the entries whose region matches, by descending score, until
// there are limit entries in total.
func appendRanked(
	entries []savorystep.Entry,
	members []savorystep.Member,
	key rankingKey,
	limit int,
	matchesRegion func(region savorystep.Region) bool,
) []savorystep.Entry {
	type scored struct {
		index int
		score uint64
	}
	var candidates []scored
	for i := range members {
		instance := &members[i].Instance
		if matchesRegion(instance.Place.Region) {
			candidates = append(candidates, scored{index: i, score: rendezvousScore(key.service, key.region, instance.ID)})
		}
	}
	slices.SortFunc(candidates, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	for i := 0; i < len(candidates) && len(entries) < limit; i++ {
		instance := &members[candidates[i].index].Instance
		entries = append(entries, savorystep.Entry{ID: instance.ID, Address: instance.CallerAddress, Zone: instance.Place.Zone})
	}
	return entries
}
