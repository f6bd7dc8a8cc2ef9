package operator

import (
	"fmt"
	"maps"
	"slices"

	"savorystep"
)

// Bounds of the numbers in a record.
const (
	maxWeight  = 10000
	maxPercent = 100
	maxGrowth  = 100
	// maxSlots is far above the slots of the largest service, 530 sites' worth
	// of endpoints with 6 slots each.
	maxSlots = 1000000
	// maxNames bounds the misspellings of one service.
	maxNames = 1000
)

const (
	schemaOne = 1
	schemaTwo = 2
)

// A validation collects the faults of a record.
type validation struct {
	faults FileErrors
}

func (v *validation) fail(key, reason, allowed string) {
	v.faults = append(v.faults, FileError{Key: key, Reason: reason, Allowed: allowed})
}

func (v *validation) within(key, what string, n, least, most int) {
	if n < least || n > most {
		v.fail(key, fmt.Sprintf("%s %d is out of bounds", what, n), fmt.Sprintf("%d to %d", least, most))
	}
}

// ValidateRecord checks a record by itself. The error holds all faults as
// FileErrors.
func ValidateRecord(record *savorystep.Record) error {
	return validate(record).err()
}

func validate(record *savorystep.Record) FileErrors {
	v := &validation{}
	if record.Schema != schemaOne && record.Schema != schemaTwo {
		v.fail("schema", fmt.Sprintf("schema %d is unknown", record.Schema), "1, 2")
		return v.faults
	}
	if !isIdentifier(string(record.Service)) {
		v.fail("service", fmt.Sprintf("%q is not the name of a service", record.Service), allowedIdentifier)
	}
	v.names(record)
	switch record.Prefer {
	case "", savorystep.PreferHeadroom, savorystep.PreferLatency:
	default:
		v.fail("prefer", fmt.Sprintf("%q is unknown", record.Prefer), "headroom, latency")
	}
	v.shares(record)
	v.shifts(record)
	for _, region := range slices.Sorted(maps.Keys(record.InFlightLimits)) {
		key := keyLabel("limits", string(region))
		v.identifier(key, "region", string(region))
		v.within(key, "limit", int(record.InFlightLimits[region]), 1, maxSlots)
	}
	if record.Schema == schemaOne {
		v.faults = append(v.faults, beyondSchemaOne(record)...)
	}
	return v.faults
}

func (v *validation) identifier(key, what, text string) {
	if !isIdentifier(text) {
		v.fail(key, fmt.Sprintf("%q is not the name of a %s", text, what), allowedIdentifier)
	}
}

func (v *validation) names(record *savorystep.Record) {
	if len(record.Aliases) > maxNames {
		v.fail("names", fmt.Sprintf("there are %d names", len(record.Aliases)), fmt.Sprintf("at most %d", maxNames))
	}
	seen := map[savorystep.Name]bool{savorystep.Name(record.Service): true}
	for _, name := range record.Aliases {
		if !isName(string(name)) {
			v.fail("names", fmt.Sprintf("%q is not a name", name), allowedName)
		}
		if seen[name] {
			v.fail("names", fmt.Sprintf("%q stands twice, or is the service's own name", name), "each name once")
		}
		seen[name] = true
	}
}

func (v *validation) shares(record *savorystep.Record) {
	section := sharesSection(record.Schema)
	type place struct {
		region savorystep.Region
		zone   savorystep.Zone
	}
	seen, whole, zones := map[place]bool{}, map[savorystep.Region]bool{}, map[savorystep.Region]bool{}
	sum := 0
	for _, share := range record.Shares {
		key := shareLabel(record.Schema, share)
		v.identifier(key, "region", string(share.Region))
		if share.Zone != "" {
			v.identifier(key, "zone", string(share.Zone))
			zones[share.Region] = true
		} else {
			whole[share.Region] = true
		}
		v.within(key, "weight", share.Weight, 0, maxWeight)
		if seen[place{share.Region, share.Zone}] {
			v.fail(key, "the share stands twice", "")
		}
		seen[place{share.Region, share.Zone}] = true
		if whole[share.Region] && zones[share.Region] {
			v.fail(key, "the region has a share as a whole and shares by zone", "one or the other")
		}
		sum += max(share.Weight, 0)
	}
	if sum == 0 {
		v.fail(keyLabel(section, ""), "no share is above zero", "at least one weight of 1 or more")
	}
}

func (v *validation) shifts(record *savorystep.Record) {
	seen := map[[2]savorystep.Region]bool{}
	moved := map[savorystep.Region]int{}
	for _, shift := range record.Shifts {
		section := shiftSection(shift.From, shift.To)
		v.identifier(keyLabel(section, ""), "region", string(shift.From))
		v.identifier(keyLabel(section, ""), "region", string(shift.To))
		if shift.From == shift.To {
			v.fail(keyLabel(section, ""), "the shift begins and ends in the same region", "two different regions")
		}
		if !hasShare(record, shift.From) {
			v.fail(keyLabel(section, ""), fmt.Sprintf("region %s has no share to move", shift.From), joinTexts(shareRegions(record)))
		}
		if seen[[2]savorystep.Region{shift.From, shift.To}] {
			v.fail(keyLabel(section, ""), "the shift stands twice", "")
		}
		seen[[2]savorystep.Region{shift.From, shift.To}] = true
		v.within(keyLabel(section, "percent"), "percent", shift.Percent, 0, maxPercent)
		v.within(keyLabel(section, "cap"), "cap", int(shift.Cap), 0, maxSlots)
		v.within(keyLabel(section, "growth"), "growth", shift.GrowthPerSecond, 0, maxGrowth)
		before := moved[shift.From]
		moved[shift.From] += max(shift.Percent, 0)
		if shift.Percent <= maxPercent && before <= maxPercent && moved[shift.From] > maxPercent {
			v.fail(keyLabel(section, "percent"), fmt.Sprintf("the shifts from %s move %d percent in all", shift.From, moved[shift.From]), "at most 100 in all")
		}
	}
}

// hasShare reports whether a region has a share, be it zero.
func hasShare(record *savorystep.Record, region savorystep.Region) bool {
	return slices.ContainsFunc(record.Shares, func(s savorystep.Share) bool { return s.Region == region })
}

// isTarget reports whether a shift leads to a region.
func isTarget(record *savorystep.Record, region savorystep.Region) bool {
	return slices.ContainsFunc(record.Shifts, func(s savorystep.Shift) bool { return s.To == region })
}

// shareRegions returns the regions with shares in order of the record.
func shareRegions(record *savorystep.Record) []savorystep.Region {
	var regions []savorystep.Region
	for _, share := range record.Shares {
		if !slices.Contains(regions, share.Region) {
			regions = append(regions, share.Region)
		}
	}
	return regions
}

func sharesSection(schema int) string {
	if schema == schemaOne {
		return "weights"
	}
	return "shares"
}

func shareLabel(schema int, share savorystep.Share) string {
	key := string(share.Region)
	if share.Zone != "" {
		key += "/" + string(share.Zone)
	}
	return keyLabel(sharesSection(schema), key)
}

func shiftSection(from, to savorystep.Region) string {
	return "shift " + string(from) + " " + string(to)
}
