package operator

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"savorystep"
)

// cloneRecord returns a deep copy of a record, nil for nil.
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

// toSchemaTwo returns a copy of a record in schema 2, which unlike schema 1 can express
// shifts.
func toSchemaTwo(record *savorystep.Record) *savorystep.Record {
	c := cloneRecord(record)
	if c.Schema == schemaOne {
		c.Schema = schemaTwo
		c.Prefer = savorystep.PreferLatency
	}
	return c
}

// withAlias returns a copy of a record with an additional alias.
func withAlias(record *savorystep.Record, name savorystep.Name) *savorystep.Record {
	c := cloneRecord(record)
	if !slices.Contains(c.Aliases, name) {
		c.Aliases = append(c.Aliases, name)
	}
	return c
}

// withShift returns a copy of a record in which the given shift replaces the one
// between the same regions, if any. A shift of 0 percent is removed.
func withShift(record *savorystep.Record, shift savorystep.Shift) *savorystep.Record {
	c := toSchemaTwo(record)
	sameRegions := func(s savorystep.Shift) bool { return s.From == shift.From && s.To == shift.To }
	i := slices.IndexFunc(c.Shifts, sameRegions)
	switch {
	case shift.Percent == 0:
		c.Shifts = slices.DeleteFunc(c.Shifts, sameRegions)
	case i >= 0:
		c.Shifts[i] = shift
	default:
		c.Shifts = append(c.Shifts, shift)
	}
	return c
}

// receivesTraffic reports whether a region has a share above 0 or is the target of a
// shift.
func receivesTraffic(record *savorystep.Record, region savorystep.Region) bool {
	return regionWeight(record, region) > 0 || isShiftTarget(record, region)
}

// isShiftSource reports whether a shift moves traffic out of a region.
func isShiftSource(record *savorystep.Record, region savorystep.Region) bool {
	return slices.ContainsFunc(record.Shifts, func(s savorystep.Shift) bool { return s.From == region })
}

// regionWeight returns the sum of the weights of a region's shares.
func regionWeight(record *savorystep.Record, region savorystep.Region) int {
	sum := 0
	for _, share := range record.Shares {
		if share.Region == region {
			sum += share.Weight
		}
	}
	return sum
}

// withShiftLimits returns a shift with the given cap and growth. If one of them is
// nil, it is taken from the record's shift between the same regions, so that an operator
// who sets only the percentage does not remove the cap.
func withShiftLimits(record *savorystep.Record, shift savorystep.Shift, inFlightCap *savorystep.Slots, growthPerSecond *int) savorystep.Shift {
	for _, old := range record.Shifts {
		if old.From == shift.From && old.To == shift.To {
			shift.Cap, shift.GrowthPerSecond = old.Cap, old.GrowthPerSecond
		}
	}
	if inFlightCap != nil {
		shift.Cap = *inFlightCap
	}
	if growthPerSecond != nil {
		shift.GrowthPerSecond = *growthPerSecond
	}
	return shift
}

// A drainPlan describes how the traffic of a region is shifted to other regions.
type drainPlan struct {
	region savorystep.Region
	// targetRegions receive the traffic. If empty, resolveTargets chooses them.
	targetRegions   []savorystep.Region
	inFlightCap     *savorystep.Slots
	growthPerSecond *int
}

// withDrain returns a copy of a record that shifts all traffic of a region to other
// regions. Without explicit targets these are the other regions with shares that are
// not drained themselves, in proportion to their weights. Existing shifts out of the
// region are replaced. Existing shifts into it are redirected to the same targets, so that
// an earlier drain of another region stays complete.
func withDrain(record *savorystep.Record, plan drainPlan) (*savorystep.Record, error) {
	c := toSchemaTwo(record)
	c.Shifts = nil
	for _, shift := range record.Shifts {
		if shift.From != plan.region && shift.To != plan.region {
			c.Shifts = append(c.Shifts, shift)
		}
	}
	for _, shift := range record.Shifts {
		if shift.To == plan.region {
			if err := distributeShift(c, plan, record, shift); err != nil {
				return nil, err
			}
		}
	}
	if regionWeight(record, plan.region) == 0 {
		return c, nil
	}
	firstNew := len(c.Shifts)
	if err := distributeShift(c, plan, record, savorystep.Shift{From: plan.region, Percent: maxPercent}); err != nil {
		return nil, err
	}
	for i := firstNew; i < len(c.Shifts); i++ {
		c.Shifts[i] = withShiftLimits(record, c.Shifts[i], plan.inFlightCap, plan.growthPerSecond)
	}
	return c, nil
}

// distributeShift splits a shift over the targets of a drain and adds the parts to c.
// The targets and weights are taken from record, the one before the drain. A part whose
// regions have a shift in c already adds to its percentage.
func distributeShift(c *savorystep.Record, plan drainPlan, record *savorystep.Record, shift savorystep.Shift) error {
	targets, weights := plan.resolveTargets(record, shift.From)
	if len(targets) == 0 {
		return savorystep.NewError(savorystep.KindBadRequest, "service %s has no other region that could take the traffic of %s; name a target region", record.Service, shift.From)
	}
	for i, percent := range apportion(shift.Percent, weights) {
		if percent == 0 {
			continue
		}
		part := shift
		part.To, part.Percent = targets[i], percent
		sameRegions := func(s savorystep.Shift) bool { return s.From == part.From && s.To == part.To }
		if j := slices.IndexFunc(c.Shifts, sameRegions); j >= 0 {
			c.Shifts[j].Percent += percent
			continue
		}
		c.Shifts = append(c.Shifts, part)
	}
	return nil
}

// resolveTargets returns the regions that receive the traffic of a region, with their
// weights. By default these are the regions with shares that are not drained.
func (plan drainPlan) resolveTargets(record *savorystep.Record, from savorystep.Region) (regions []savorystep.Region, weights []int) {
	candidates := plan.targetRegions
	if len(candidates) == 0 {
		for _, region := range shareRegions(record) {
			if regionWeight(record, region) > 0 && !isDrained(record, region) {
				candidates = append(candidates, region)
			}
		}
	}
	for _, region := range candidates {
		if region != from && region != plan.region {
			regions = append(regions, region)
			// An explicit target region may have no share.
			weights = append(weights, max(regionWeight(record, region), 1))
		}
	}
	return regions, weights
}

// isDrained reports whether the shifts out of a region sum up to 100 percent.
func isDrained(record *savorystep.Record, region savorystep.Region) bool {
	sum := 0
	for _, shift := range record.Shifts {
		if shift.From == region {
			sum += shift.Percent
		}
	}
	return sum >= maxPercent
}

// withoutShiftsFrom returns a copy of a record without the shifts out of a region.
func withoutShiftsFrom(record *savorystep.Record, region savorystep.Region) *savorystep.Record {
	c := cloneRecord(record)
	c.Shifts = slices.DeleteFunc(c.Shifts, func(s savorystep.Shift) bool { return s.From == region })
	return c
}

// apportion splits a total into integers in proportion to positive weights, by the
// largest remainder method.
func apportion(total int, weights []int) []int {
	sum := 0
	for _, w := range weights {
		sum += w
	}
	parts := make([]int, len(weights))
	order := make([]int, len(weights))
	remaining := total
	for i, w := range weights {
		parts[i] = total * w / sum
		order[i] = i
		remaining -= parts[i]
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(total*weights[b]%sum, total*weights[a]%sum)
	})
	for _, i := range order[:remaining] {
		parts[i]++
	}
	return parts
}

// withGrowthStarts returns a copy of a record in which GrowthStart of each shift is set
// such that the moved share continues from its value in the current record. A new shift
// starts now. A changed shift that has moved m percent so far gets the start from which
// it would have reached m percent at its new growth.
func withGrowthStarts(record, current *savorystep.Record, now time.Time) *savorystep.Record {
	c := cloneRecord(record)
	if c == nil {
		return nil
	}
	for i := range c.Shifts {
		shift := &c.Shifts[i]
		// Milliseconds are precise enough and keep the record file readable.
		shift.GrowthStart = now.UTC().Truncate(time.Millisecond)
		if current == nil {
			continue
		}
		for _, old := range current.Shifts {
			if old.From != shift.From || old.To != shift.To {
				continue
			}
			if effectiveGrowth(old) == effectiveGrowth(*shift) && old.Percent == shift.Percent && !old.GrowthStart.IsZero() {
				shift.GrowthStart = old.GrowthStart
				continue
			}
			growthTime := time.Duration(movedPercent(old, now) * float64(time.Second) / float64(effectiveGrowth(*shift)))
			shift.GrowthStart = now.UTC().Add(-growthTime).Truncate(time.Millisecond)
		}
	}
	return c
}

// movedPercent returns the percentage that a shift moves at the given time.
func movedPercent(shift savorystep.Shift, now time.Time) float64 {
	elapsed := max(now.Sub(shift.GrowthStart).Seconds(), 0)
	return min(float64(shift.Percent), elapsed*float64(effectiveGrowth(shift)))
}

func effectiveGrowth(shift savorystep.Shift) int {
	if shift.GrowthPerSecond == 0 {
		return savorystep.DefaultGrowthPerSecond
	}
	return shift.GrowthPerSecond
}

// equalRecords reports whether two records are equal apart from GrowthStart of their
// shifts.
func equalRecords(a, b *savorystep.Record) bool {
	if a == nil || b == nil {
		return a == b
	}
	return formatWithoutGrowthStarts(a) == formatWithoutGrowthStarts(b)
}

func formatWithoutGrowthStarts(record *savorystep.Record) string {
	c := cloneRecord(record)
	for i := range c.Shifts {
		c.Shifts[i].GrowthStart = time.Time{}
	}
	return fmt.Sprintf("%+v", *c)
}
