package upstream

import (
	"math"
	"time"

	"github.com/zeebo/xxh3"

	"savorystep"
)

// Reasons of decisions.
const (
	reasonHome     = "the home region has a share"
	reasonShare    = "chosen by the weights of the shares"
	reasonShift    = "moved by a shift"
	reasonUnusable = "failover: no usable endpoint"
	reasonFull     = "failover: the region is full"
	reasonNone     = "no region is usable"
	reasonNoShare  = "the record has no share"
)

// Limits for the load of a region, which is (used slots + queued requests) /
// slots.
const (
	// fullLoadForLatency is the load from which a service that prefers latency
	// leaves a region. Each unit of load above 1 costs a queued request about
	// one service time (20 ms), and a move to another region costs a round trip
	// of 70 ms. So a move pays above a load of 4. The queue is full at 5.
	fullLoadForLatency = 4.0
	// fullLoadForHeadroom is the load from which a service that prefers
	// headroom leaves a region. It is below 1, so that slots stay free for new
	// requests and none has to queue.
	fullLoadForHeadroom = 0.9
	// maxFailoverLoad is the load below which a region accepts requests of
	// another region. The margin to fullLoadForHeadroom keeps two full regions
	// from exchanging requests: with 18 slots at 80% load, the load fluctuates
	// by about 0.1 in either direction.
	maxFailoverLoad = 0.6
)

// maxShiftHops bounds how many shifts are applied to a block in sequence.
const maxShiftHops = 4

// hashScale is 2^-53. It maps the upper 53 bits of a hash to [0, 1).
const hashScale = 1.0 / (1 << 53)

// shiftSeed makes the hash for shifts independent of the hash for shares, so
// that a shift moves the same fraction of the blocks of each region.
const shiftSeed = 0x9e3779b97f4a7c15

// A path is a region and the shifts that lead a block to it.
type path struct {
	region     savorystep.Region
	shifts     [maxShiftHops]*savorystep.Shift
	shiftCount int
}

// Steer chooses the region for a block of clients. The block stays in its home
// region if that has a share; otherwise the region is chosen from the shares by
// weighted rendezvous hashing. Shifts then move a stable part of a region's
// blocks. If the region has no usable endpoint, or is full while another one
// has room, the block fails over to the next region in the order of the
// weighted hash.
//
// Empty loads mean that nothing is known about the regions; all of them then
// count as usable. The decision's region is empty if the record has no share.
func Steer(record *savorystep.Record, block savorystep.BlockID, home savorystep.Region,
	loads []savorystep.RegionLoad, now time.Time,
) savorystep.Decision {
	initial, reason := initialRegion(record, block, home)
	if initial == "" {
		return savorystep.Decision{Reason: reasonNoShare}
	}
	chosen := followShifts(record, block, initial, now)
	if chosen.shiftCount > 0 {
		reason = reasonShift
	}
	rejection := rejectReason(record, loads, chosen.region)
	if rejection == "" {
		return chosen.decision(reason)
	}
	var buffer [8]path
	for _, other := range fallbacks(buffer[:0], record, block, initial, now) {
		if hasRoom(loads, other.region) {
			return other.failover(initial, rejection)
		}
	}
	if rejection == reasonUnusable {
		return steerUnusable(record, block, initial, loads, chosen, now)
	}
	return chosen.decision(reason)
}

// steerUnusable chooses a region when the chosen one has no usable endpoint and
// no other has room. A full region is better than an unusable one, because it
// still queues requests.
func steerUnusable(record *savorystep.Record, block savorystep.BlockID, initial savorystep.Region,
	loads []savorystep.RegionLoad, chosen path, now time.Time,
) savorystep.Decision {
	var buffer [8]path
	for _, other := range fallbacks(buffer[:0], record, block, initial, now) {
		if load, ok := loadOf(loads, other.region); ok && load.UsableEndpoints > 0 {
			return other.failover(initial, reasonUnusable)
		}
	}
	return chosen.decision(reasonNone)
}

// Order appends to dst the decisions for a block in the order in which a
// forwarder tries them: the decision of Steer first, then the other regions by
// the weighted hash. A region whose blocks are all moved away by a shift is
// left out.
func Order(dst []savorystep.Decision, record *savorystep.Record, block savorystep.BlockID,
	home savorystep.Region, loads []savorystep.RegionLoad, now time.Time,
) []savorystep.Decision {
	best := Steer(record, block, home, loads, now)
	if best.Region == "" {
		return dst
	}
	start := len(dst)
	dst = append(dst, best)
	initial, _ := initialRegion(record, block, home)
	var buffer [8]path
	candidates := append(buffer[:0], followShifts(record, block, initial, now))
	candidates = fallbacks(candidates, record, block, initial, now)
	for i, candidate := range candidates {
		if containsRegion(dst[start:], candidate.region) {
			continue
		}
		decision := candidate.failover(initial, reasonFull)
		if i == 0 {
			decision = candidate.decision(reasonFull)
		}
		dst = append(dst, decision)
	}
	return dst
}

// containsRegion reports whether one of the decisions is for the region.
func containsRegion(decisions []savorystep.Decision, region savorystep.Region) bool {
	for i := range decisions {
		if decisions[i].Region == region {
			return true
		}
	}
	return false
}

// decision returns the decision for the path's region.
func (p path) decision(reason string) savorystep.Decision {
	decision := savorystep.Decision{Region: p.region, Reason: reason}
	if p.shiftCount > 0 {
		decision.Shift = p.shifts[p.shiftCount-1]
	}
	return decision
}

// failover returns the decision for a block whose chosen region was rejected. A
// block that stays in its initial region does not count as failed over.
func (p path) failover(initial savorystep.Region, reason string) savorystep.Decision {
	decision := p.decision(reason)
	decision.Failover = p.region != initial
	return decision
}

// initialRegion returns the region of a block before shifts are applied, and
// the reason for it.
func initialRegion(record *savorystep.Record, block savorystep.BlockID, home savorystep.Region) (savorystep.Region, string) {
	for i := range record.Shares {
		if share := &record.Shares[i]; share.Region == home && share.Weight > 0 {
			return home, reasonHome
		}
	}
	var best savorystep.Region
	lowest := math.Inf(1)
	for i := range record.Shares {
		share := &record.Shares[i]
		weight, isFirst := regionWeight(record, i)
		if !isFirst {
			continue
		}
		if s := score(share.Region, block, weight); s < lowest {
			best, lowest = share.Region, s
		}
	}
	return best, reasonShare
}

// regionWeight returns the sum of the weights of a region's shares. The second
// result is true only for the index of the region's first share with a positive
// weight, so that each region is considered once.
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

// score returns the weighted rendezvous score of a region for a block; the
// region with the lowest score is chosen. An exponentially distributed value
// divided by the weight makes each region win in proportion to its weight.
func score(region savorystep.Region, block savorystep.BlockID, weight int) float64 {
	return -math.Log(hashPosition(region, uint64(block))) / float64(weight)
}

// hashPosition returns a stable, uniformly distributed number in (0, 1) for a
// region and a seed.
func hashPosition(region savorystep.Region, seed uint64) float64 {
	return (float64(xxh3.HashStringSeed(string(region), seed)>>11) + 0.5) * hashScale
}

// followShifts applies the shifts in force to a block, starting in the given
// region. A region already visited is not entered again, so circular shifts
// terminate.
func followShifts(record *savorystep.Record, block savorystep.BlockID, region savorystep.Region, now time.Time) path {
	result := path{region: region}
	for result.shiftCount < maxShiftHops {
		shift := movingShift(record, block, result.region, now)
		if shift == nil || result.visited(region, shift.To) {
			break
		}
		result.shifts[result.shiftCount] = shift
		result.shiftCount++
		result.region = shift.To
	}
	return result
}

// visited reports whether a region is on the path, which began at initial.
func (p path) visited(initial, region savorystep.Region) bool {
	if region == initial || region == p.region {
		return true
	}
	for i := range p.shiftCount {
		if p.shifts[i].From == region {
			return true
		}
	}
	return false
}

// movingShift returns the shift that moves a block out of a region, or nil.
// Each shift of a region owns an interval of the blocks' hash positions as wide
// as its percentage and moves the blocks from the interval's lower end up, so
// that the growth of one shift does not change which blocks another one moves.
func movingShift(record *savorystep.Record, block savorystep.BlockID, region savorystep.Region, now time.Time) *savorystep.Shift {
	if len(record.Shifts) == 0 {
		return nil
	}
	blockPosition := hashPosition(region, uint64(block)^shiftSeed) * 100
	intervalStart := 0.0
	for i := range record.Shifts {
		shift := &record.Shifts[i]
		if shift.From != region || shift.To == region || shift.To == "" {
			continue
		}
		if blockPosition >= intervalStart && blockPosition < intervalStart+EffectivePercent(shift, now) {
			return shift
		}
		intervalStart += float64(shift.Percent)
	}
	return nil
}

// EffectivePercent returns the percentage of blocks that a shift moves at the
// given time. It grows from the shift's start at the shift's growth rate up to
// its percentage. A shift without a start time is in force in full.
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

// fallbacks appends the paths of a block to the other regions with a share, in
// the order of the weighted hash. If the block's shift has not reached 100
// percent, the region that it left comes last: when the shift's cap is reached,
// the block may stay there.
func fallbacks(dst []path, record *savorystep.Record, block savorystep.BlockID,
	initial savorystep.Region, now time.Time,
) []path {
	start := len(dst)
	var scores [8]float64
	ranked := scores[:0]
	for i := range record.Shares {
		weight, isFirst := regionWeight(record, i)
		region := record.Shares[i].Region
		if !isFirst || region == initial {
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
	if shift := movingShift(record, block, initial, now); shift != nil && EffectivePercent(shift, now) < 100 {
		dst = append(dst, path{region: initial})
	}
	return dst
}

// loadOf returns the load of a region and whether it is known.
func loadOf(loads []savorystep.RegionLoad, region savorystep.Region) (savorystep.RegionLoad, bool) {
	for i := range loads {
		if loads[i].Region == region {
			return loads[i], true
		}
	}
	return savorystep.RegionLoad{}, false
}

// rejectReason returns the reason why a region cannot take a request, or an
// empty string if it can.
func rejectReason(record *savorystep.Record, loads []savorystep.RegionLoad, region savorystep.Region) string {
	if len(loads) == 0 {
		return ""
	}
	load, ok := loadOf(loads, region)
	if !ok || load.UsableEndpoints == 0 {
		return reasonUnusable
	}
	fullLoad := fullLoadForLatency
	if record.Prefer == savorystep.PreferHeadroom {
		fullLoad = fullLoadForHeadroom
	}
	if loadFactor(load) >= fullLoad {
		return reasonFull
	}
	return ""
}

// hasRoom reports whether a region accepts requests of another region.
func hasRoom(loads []savorystep.RegionLoad, region savorystep.Region) bool {
	load, ok := loadOf(loads, region)
	return ok && load.UsableEndpoints > 0 && loadFactor(load) < maxFailoverLoad
}

// loadFactor returns the used slots and queued requests as a multiple of the
// slots.
func loadFactor(load savorystep.RegionLoad) float64 {
	if load.Slots <= 0 {
		return math.Inf(1)
	}
	return (float64(load.UsedSlots) + float64(load.Queued)) / float64(load.Slots)
}

// shiftsLeadingTo returns the shifts that led a block to a decision's region.
func shiftsLeadingTo(record *savorystep.Record, block savorystep.BlockID, home savorystep.Region,
	decision savorystep.Decision, now time.Time,
) []*savorystep.Shift {
	initial, _ := initialRegion(record, block, home)
	var buffer [8]path
	candidates := append(buffer[:0], followShifts(record, block, initial, now))
	candidates = fallbacks(candidates, record, block, initial, now)
	for i := range candidates {
		p := &candidates[i]
		if p.shiftCount > 0 && p.region == decision.Region && p.shifts[p.shiftCount-1] == decision.Shift {
			return append([]*savorystep.Shift(nil), p.shifts[:p.shiftCount]...)
		}
	}
	return []*savorystep.Shift{decision.Shift}
}
