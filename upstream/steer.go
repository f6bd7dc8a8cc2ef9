package upstream

import (
	"math"
	"time"

	"github.com/zeebo/xxh3"

	"savorystep"
)

// The reasons of decisions.
const (
	reasonHome     = "the home region has a share"
	reasonShare    = "chosen by the weights of the shares"
	reasonShift    = "moved by a shift"
	reasonUnusable = "failover: no usable endpoint"
	reasonFull     = "failover: the region is full"
	reasonNone     = "no region is usable"
	reasonNoShare  = "the record has no share"
)

// The load of a region, (used + queued) / slots, from which its requests go to
// another region.
const (
	// A request that waits costs about one service time (20 ms) for each unit
	// of load above 1, a move to another region costs a round trip of 70 ms.
	// For latency a move pays above a load of 4; the queue is full at 5.
	fullLoadForLatency = 4.0
	// For headroom, slots are kept free for the requests to come: a region is
	// left before anything waits in it.
	fullLoadForHeadroom = 0.9
	// A region has room for the requests of another one below this load. The
	// distance to fullForHeadroom keeps two full regions from exchanging their
	// requests: with 18 slots at 80% load, the load of the moment varies by
	// about 0.1 either way.
	maxFailoverLoad = 0.6
)

// maxHops bounds how many shifts a block follows one after the other.
const maxShiftHops = 4

// hashUnit is 2 to the power of -53: it maps the upper 53 bits of a hash to
// the interval [0, 1).
const hashScale = 1.0 / (1 << 53)

// shiftSeed separates the hash of shifts from that of shares, so that a shift
// moves the same part of each group of blocks.
const shiftSeed = 0x9e3779b97f4a7c15

// A path is a region together with the shifts that led to it.
type path struct {
	region savorystep.Region
	shifts [maxShiftHops]*savorystep.Shift
	count  int
}

// Steer chooses the region for a block of clients. Callers stay in their home
// region if it has a share; others are spread over the shares by weighted
// rendezvous hashing. Shifts then move a stable part of the blocks of a region.
// A region without usable endpoints, or a full one while another has room, is
// passed over for the next one in the order of the weighted hash.
//
// Empty loads mean that nothing is known about the regions; all of them then
// count as usable. The result's region is empty if the record has no share.
func Steer(record *savorystep.Record, block savorystep.BlockID, home savorystep.Region,
	loads []savorystep.RegionLoad, now time.Time,
) savorystep.Decision {
	first, reason := initialRegion(record, block, home)
	if first == "" {
		return savorystep.Decision{Reason: reasonNoShare}
	}
	chosen := followShifts(record, block, first, now)
	if chosen.count > 0 {
		reason = reasonShift
	}
	why := rejectReason(record, loads, chosen.region)
	if why == "" {
		return chosen.decision(reason)
	}
	var buffer [8]path
	for _, other := range fallbacks(buffer[:0], record, block, first, now) {
		if hasRoom(loads, other.region) {
			return other.failover(first, why)
		}
	}
	if why == reasonUnusable {
		return steerUnusable(record, block, first, loads, chosen, now)
	}
	return chosen.decision(reason)
}

// steerUnusable chooses among regions without room when the first choice has
// no usable endpoint: a full region still queues, an unusable one does not.
func steerUnusable(record *savorystep.Record, block savorystep.BlockID, first savorystep.Region,
	loads []savorystep.RegionLoad, chosen path, now time.Time,
) savorystep.Decision {
	var buffer [8]path
	for _, other := range fallbacks(buffer[:0], record, block, first, now) {
		if load, ok := loadOf(loads, other.region); ok && load.UsableEndpoints > 0 {
			return other.failover(first, reasonUnusable)
		}
	}
	return chosen.decision(reasonNone)
}

// Order appends to dst the decisions for a block in the order in which a
// forwarder tries them: the one of Steer, then the other regions by the
// weighted hash. A region that a shift has left entirely is not listed.
func Order(dst []savorystep.Decision, record *savorystep.Record, block savorystep.BlockID,
	home savorystep.Region, loads []savorystep.RegionLoad, now time.Time,
) []savorystep.Decision {
	best := Steer(record, block, home, loads, now)
	if best.Region == "" {
		return dst
	}
	start := len(dst)
	dst = append(dst, best)
	first, _ := initialRegion(record, block, home)
	var buffer [8]path
	candidates := append(buffer[:0], followShifts(record, block, first, now))
	candidates = fallbacks(candidates, record, block, first, now)
	for i, candidate := range candidates {
		if containsRegion(dst[start:], candidate.region) {
			continue
		}
		decision := candidate.failover(first, reasonFull)
		if i == 0 {
			decision = candidate.decision(reasonFull)
		}
		dst = append(dst, decision)
	}
	return dst
}

// listed reports whether a region is among the decisions.
func containsRegion(decisions []savorystep.Decision, region savorystep.Region) bool {
	for i := range decisions {
		if decisions[i].Region == region {
			return true
		}
	}
	return false
}

// decision returns the decision for the path.
func (p path) decision(reason string) savorystep.Decision {
	decision := savorystep.Decision{Region: p.region, Reason: reason}
	if p.count > 0 {
		decision.Shift = p.shifts[p.count-1]
	}
	return decision
}

// failover returns the decision for the path of a block whose region is passed
// over. A block that stays in its first region does not fail over.
func (p path) failover(first savorystep.Region, reason string) savorystep.Decision {
	decision := p.decision(reason)
	decision.Failover = p.region != first
	return decision
}

// firstRegion returns the region of a block before shifts, and the reason.
func initialRegion(record *savorystep.Record, block savorystep.BlockID, home savorystep.Region) (savorystep.Region, string) {
	for i := range record.Shares {
		if share := &record.Shares[i]; share.Region == home && share.Weight > 0 {
			return home, reasonHome
		}
	}
	var best savorystep.Region
	least := math.Inf(1)
	for i := range record.Shares {
		share := &record.Shares[i]
		weight, counted := regionWeight(record, i)
		if !counted {
			continue
		}
		if s := score(share.Region, block, weight); s < least {
			best, least = share.Region, s
		}
	}
	return best, reasonShare
}

// regionWeight returns the sum of the weights of a region's shares. It counts
// only at the region's first share with a positive weight.
func regionWeight(record *savorystep.Record, index int) (int, bool) {
	share := &record.Shares[index]
	if share.Weight <= 0 {
		return 0, false
	}
	sum := 0
	for i := range record.Shares {
		other := &record.Shares[i]
		if other.Region != share.Region || other.Weight <= 0 {
			continue
		}
		if i < index {
			return 0, false
		}
		sum += other.Weight
	}
	return sum, true
}

// score is the weighted rendezvous score of a region for a block; the least
// score wins. An exponential variable divided by its weight makes each region
// win in proportion to its weight.
func score(region savorystep.Region, block savorystep.BlockID, weight int) float64 {
	return -math.Log(hashPosition(region, uint64(block))) / float64(weight)
}

// position returns a stable number in (0, 1) for a region and a seed.
func hashPosition(region savorystep.Region, seed uint64) float64 {
	return (float64(xxh3.HashStringSeed(string(region), seed)>>11) + 0.5) * hashScale
}

// follow moves a block from region to region as the shifts in force say. A
// region that was left is not entered again, so shifts in a circle end.
func followShifts(record *savorystep.Record, block savorystep.BlockID, region savorystep.Region, now time.Time) path {
	result := path{region: region}
	for result.count < maxShiftHops {
		shift := movingShift(record, block, result.region, now)
		if shift == nil || result.visited(region, shift.To) {
			break
		}
		result.shifts[result.count] = shift
		result.count++
		result.region = shift.To
	}
	return result
}

// left reports whether the path began at or left a region.
func (p path) visited(first, region savorystep.Region) bool {
	if region == first || region == p.region {
		return true
	}
	for i := range p.count {
		if p.shifts[i].From == region {
			return true
		}
	}
	return false
}

// moving returns the shift that moves a block out of a region, or nil. Each
// shift of a region owns an interval of the blocks' positions as wide as its
// percent and fills it from its lower end, so that the growth of one shift
// does not change which blocks another one moves.
func movingShift(record *savorystep.Record, block savorystep.BlockID, region savorystep.Region, now time.Time) *savorystep.Shift {
	if len(record.Shifts) == 0 {
		return nil
	}
	at := hashPosition(region, uint64(block)^shiftSeed) * 100
	base := 0.0
	for i := range record.Shifts {
		shift := &record.Shifts[i]
		if shift.From != region || shift.To == region || shift.To == "" {
			continue
		}
		if at >= base && at < base+EffectivePercent(shift, now) {
			return shift
		}
		base += float64(shift.Percent)
	}
	return nil
}

// EffectivePercent returns the percent of blocks that a shift moves at a time.
// It grows from the shift's start by its growth per second up to its percent.
// A shift without a start is fully in force.
func EffectivePercent(shift *savorystep.Shift, now time.Time) float64 {
	percent := float64(min(max(shift.Percent, 0), 100))
	if shift.GrowthStart.IsZero() {
		return percent
	}
	growth := shift.GrowthPerSecond
	if growth <= 0 {
		growth = savorystep.DefaultGrowthPerSecond
	}
	grown := now.Sub(shift.GrowthStart).Seconds() * float64(growth)
	return min(max(grown, 0), percent)
}

// fallbacks appends the paths of a block through the other regions with a
// share, in the order of the weighted hash. A region that the block's own
// shift left comes last while that shift still grows: over the shift's cap the
// block stays where it came from.
func fallbacks(dst []path, record *savorystep.Record, block savorystep.BlockID,
	first savorystep.Region, now time.Time,
) []path {
	start := len(dst)
	var scores [8]float64
	ranked := scores[:0]
	for i := range record.Shares {
		weight, counted := regionWeight(record, i)
		region := record.Shares[i].Region
		if !counted || region == first {
			continue
		}
		s := score(region, block, weight)
		dst = append(dst, followShifts(record, block, region, now))
		ranked = append(ranked, s)
		for k := len(ranked) - 1; k > 0 && ranked[k-1] > s; k-- {
			ranked[k-1], ranked[k] = ranked[k], ranked[k-1]
			dst[start+k-1], dst[start+k] = dst[start+k], dst[start+k-1]
		}
	}
	if shift := movingShift(record, block, first, now); shift != nil && EffectivePercent(shift, now) < 100 {
		dst = append(dst, path{region: first})
	}
	return dst
}

// loadOf returns the load of a region.
func loadOf(loads []savorystep.RegionLoad, region savorystep.Region) (savorystep.RegionLoad, bool) {
	for i := range loads {
		if loads[i].Region == region {
			return loads[i], true
		}
	}
	return savorystep.RegionLoad{}, false
}

// unfit returns the reason to pass a region over, or nothing.
func rejectReason(record *savorystep.Record, loads []savorystep.RegionLoad, region savorystep.Region) string {
	if len(loads) == 0 {
		return ""
	}
	load, ok := loadOf(loads, region)
	if !ok || load.UsableEndpoints == 0 {
		return reasonUnusable
	}
	full := fullLoadForLatency
	if record.Prefer == savorystep.PreferHeadroom {
		full = fullLoadForHeadroom
	}
	if loadFactor(load) >= full {
		return reasonFull
	}
	return ""
}

// hasRoom reports whether a region takes requests of another one.
func hasRoom(loads []savorystep.RegionLoad, region savorystep.Region) bool {
	load, ok := loadOf(loads, region)
	return ok && load.UsableEndpoints > 0 && loadFactor(load) < maxFailoverLoad
}

// loadFactor is the used slots and the queue in units of the slots.
func loadFactor(load savorystep.RegionLoad) float64 {
	if load.Slots <= 0 {
		return math.Inf(1)
	}
	return (float64(load.UsedSlots) + float64(load.Queued)) / float64(load.Slots)
}

// shiftsTo returns the shifts that a block followed to a decision's region.
func shiftsLeadingTo(record *savorystep.Record, block savorystep.BlockID, home savorystep.Region,
	decision savorystep.Decision, now time.Time,
) []*savorystep.Shift {
	first, _ := initialRegion(record, block, home)
	var buffer [8]path
	candidates := append(buffer[:0], followShifts(record, block, first, now))
	candidates = fallbacks(candidates, record, block, first, now)
	for i := range candidates {
		p := &candidates[i]
		if p.count > 0 && p.region == decision.Region && p.shifts[p.count-1] == decision.Shift {
			return append([]*savorystep.Shift(nil), p.shifts[:p.count]...)
		}
	}
	return []*savorystep.Shift{decision.Shift}
}
