package operator

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"savorystep"
)

// cloneRecord returns a deep copy.
func cloneRecord(record *savorystep.Record) *savorystep.Record {
	if record == nil {
		return nil
	}
	c := *record
	c.Aliases = slices.Clone(record.Aliases)
	c.Shares = slices.Clone(record.Shares)
	c.Shifts = slices.Clone(record.Shifts)
	c.InFlightLimits = maps.Clone(record.InFlightLimits)
	return &c
}

// asSchemaTwo returns a copy of a record that may hold shifts.
func asSchemaTwo(record *savorystep.Record) *savorystep.Record {
	c := cloneRecord(record)
	if c.Schema == schemaOne {
		c.Schema = schemaTwo
		c.Prefer = savorystep.PreferLatency
	}
	return c
}

// withName returns a copy of a record that has one more name.
func withName(record *savorystep.Record, name savorystep.Name) *savorystep.Record {
	c := cloneRecord(record)
	if !slices.Contains(c.Aliases, name) {
		c.Aliases = append(c.Aliases, name)
	}
	return c
}

// withShift returns a copy of a record whose shift between two regions is the
// given one. A shift of 0 percent is removed.
func withShift(record *savorystep.Record, shift savorystep.Shift) *savorystep.Record {
	c := asSchemaTwo(record)
	same := func(s savorystep.Shift) bool { return s.From == shift.From && s.To == shift.To }
	i := slices.IndexFunc(c.Shifts, same)
	switch {
	case shift.Percent == 0:
		c.Shifts = slices.DeleteFunc(c.Shifts, same)
	case i >= 0:
		c.Shifts[i] = shift
	default:
		c.Shifts = append(c.Shifts, shift)
	}
	return c
}

// uses reports whether a service sends traffic to a region.
func uses(record *savorystep.Record, region savorystep.Region) bool {
	return regionWeight(record, region) > 0 || isTarget(record, region)
}

// isSource reports whether a shift leads out of a region.
func isSource(record *savorystep.Record, region savorystep.Region) bool {
	return slices.ContainsFunc(record.Shifts, func(s savorystep.Shift) bool { return s.From == region })
}

// regionWeight sums the weights of a region's shares.
func regionWeight(record *savorystep.Record, region savorystep.Region) int {
	sum := 0
	for _, share := range record.Shares {
		if share.Region == region {
			sum += share.Weight
		}
	}
	return sum
}

// withLimits returns a shift with a cap and a growth. Those that are nil stay
// as they are in the record, so that no cap is lost by leaving it out.
func withLimits(record *savorystep.Record, shift savorystep.Shift, limit *savorystep.Slots, growth *int) savorystep.Shift {
	for _, old := range record.Shifts {
		if old.From == shift.From && old.To == shift.To {
			shift.Cap, shift.GrowthPerSecond = old.Cap, old.GrowthPerSecond
		}
	}
	if limit != nil {
		shift.Cap = *limit
	}
	if growth != nil {
		shift.GrowthPerSecond = *growth
	}
	return shift
}

// A drain says how the traffic of a region moves away.
type drain struct {
	region savorystep.Region
	// to are the regions that take it, those with shares if empty.
	to     []savorystep.Region
	limit  *savorystep.Slots
	growth *int
}

// withDrain returns a copy of a record that moves all traffic of a region
// away. Without targets it goes to the other regions with shares that are not
// drained themselves, in proportion to their weights. What shifts move into
// the region goes to the same targets instead, so that an earlier drain of
// another region stays complete.
func withDrain(record *savorystep.Record, d drain) (*savorystep.Record, error) {
	c := asSchemaTwo(record)
	c.Shifts = nil
	for _, shift := range record.Shifts {
		if shift.From != d.region && shift.To != d.region {
			c.Shifts = append(c.Shifts, shift)
		}
	}
	for _, shift := range record.Shifts {
		if shift.To == d.region {
			if err := spread(c, d, record, shift); err != nil {
				return nil, err
			}
		}
	}
	if regionWeight(record, d.region) == 0 {
		return c, nil
	}
	first := len(c.Shifts)
	if err := spread(c, d, record, savorystep.Shift{From: d.region, Percent: maxPercent}); err != nil {
		return nil, err
	}
	for i := first; i < len(c.Shifts); i++ {
		c.Shifts[i] = withLimits(record, c.Shifts[i], d.limit, d.growth)
	}
	return c, nil
}

// spread divides a shift over the targets of a drain and adds the parts to a
// record.
func spread(c *savorystep.Record, d drain, record *savorystep.Record, shift savorystep.Shift) error {
	targets, weights := d.targets(record, shift.From)
	if len(targets) == 0 {
		return savorystep.NewError(savorystep.KindBadRequest, "service %s has no other region that could take the traffic of %s; name a target", record.Service, shift.From)
	}
	for i, percent := range divide(shift.Percent, weights) {
		if percent == 0 {
			continue
		}
		part := shift
		part.To, part.Percent = targets[i], percent
		same := func(s savorystep.Shift) bool { return s.From == part.From && s.To == part.To }
		if j := slices.IndexFunc(c.Shifts, same); j >= 0 {
			c.Shifts[j].Percent += percent
			continue
		}
		c.Shifts = append(c.Shifts, part)
	}
	return nil
}

// targets returns the regions that may take the traffic of a region, with
// their weights.
func (d drain) targets(record *savorystep.Record, from savorystep.Region) (regions []savorystep.Region, weights []int) {
	candidates := d.to
	if len(candidates) == 0 {
		for _, region := range shareRegions(record) {
			if regionWeight(record, region) > 0 && !isDrained(record, region) {
				candidates = append(candidates, region)
			}
		}
	}
	for _, region := range candidates {
		if region != from && region != d.region {
			regions = append(regions, region)
			// A target that is named may have no share of its own.
			weights = append(weights, max(regionWeight(record, region), 1))
		}
	}
	return regions, weights
}

// isDrained reports whether shifts move all traffic of a region away.
func isDrained(record *savorystep.Record, region savorystep.Region) bool {
	sum := 0
	for _, shift := range record.Shifts {
		if shift.From == region {
			sum += shift.Percent
		}
	}
	return sum >= maxPercent
}

// withoutDrain returns a copy of a record without the shifts out of a region.
func withoutDrain(record *savorystep.Record, region savorystep.Region) *savorystep.Record {
	c := cloneRecord(record)
	c.Shifts = slices.DeleteFunc(c.Shifts, func(s savorystep.Shift) bool { return s.From == region })
	return c
}

// divide splits a total in proportion to positive weights. The parts are whole
// and add up to the total; remainders go to the largest fractions first.
func divide(total int, weights []int) []int {
	sum := 0
	for _, w := range weights {
		sum += w
	}
	parts := make([]int, len(weights))
	order := make([]int, len(weights))
	left := total
	for i, w := range weights {
		parts[i] = total * w / sum
		order[i] = i
		left -= parts[i]
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(total*weights[b]%sum, total*weights[a]%sum)
	})
	for _, i := range order[:left] {
		parts[i]++
	}
	return parts
}

// withStarts returns a copy of a record whose shifts have their start set, so
// that the moved part goes on from where it is now. A new shift starts now;
// one that has grown to m percent starts as long ago as the new growth takes
// to reach m.
func withStarts(record, current *savorystep.Record, now time.Time) *savorystep.Record {
	c := cloneRecord(record)
	if c == nil {
		return nil
	}
	for i := range c.Shifts {
		shift := &c.Shifts[i]
		// Milliseconds are enough, and keep the file readable.
		shift.GrowthStart = now.UTC().Truncate(time.Millisecond)
		if current == nil {
			continue
		}
		for _, old := range current.Shifts {
			if old.From != shift.From || old.To != shift.To {
				continue
			}
			if growthOf(old) == growthOf(*shift) && old.Percent == shift.Percent && !old.GrowthStart.IsZero() {
				shift.GrowthStart = old.GrowthStart
				continue
			}
			grown := time.Duration(movedPercent(old, now) * float64(time.Second) / float64(growthOf(*shift)))
			shift.GrowthStart = now.UTC().Add(-grown).Truncate(time.Millisecond)
		}
	}
	return c
}

// movedPercent returns the percent that a shift has moved at a time.
func movedPercent(shift savorystep.Shift, now time.Time) float64 {
	elapsed := max(now.Sub(shift.GrowthStart).Seconds(), 0)
	return min(float64(shift.Percent), elapsed*float64(growthOf(shift)))
}

func growthOf(shift savorystep.Shift) int {
	if shift.GrowthPerSecond == 0 {
		return savorystep.DefaultGrowthPerSecond
	}
	return shift.GrowthPerSecond
}

// sameRecord reports whether two records say the same, leaving out the start
// of shifts.
func sameRecord(a, b *savorystep.Record) bool {
	if a == nil || b == nil {
		return a == b
	}
	return withoutStarts(a) == withoutStarts(b)
}

func withoutStarts(record *savorystep.Record) string {
	c := cloneRecord(record)
	for i := range c.Shifts {
		c.Shifts[i].GrowthStart = time.Time{}
	}
	return fmt.Sprintf("%+v", *c)
}
