package operator

import (
	"fmt"
	"maps"
	"slices"

	"savorystep"
)

// Upper bounds of the numbers in a record.
const (
	maxWeight  = 10000
	maxPercent = 100
	maxGrowth  = 100
	// maxSlots is far above the slots of the largest service, which has endpoints at
	// 530 sites with 6 slots each.
	maxSlots = 1000000
	// maxNames bounds the aliases of a service.
	maxNames = 1000
)

// Schema versions of records.
const (
	schemaOne = 1
	schemaTwo = 2
)

// A recordValidator collects the errors of a record.
type recordValidator struct {
	errs FileErrors
}

func (v *recordValidator) addError(key, reason, allowed string) {
	v.errs = append(v.errs, FileError{Key: key, Reason: reason, Allowed: allowed})
}

func (v *recordValidator) checkRange(key, noun string, n, minimum, maximum int) {
	if n < minimum || n > maximum {
		v.addError(key, fmt.Sprintf("%s %d is out of range", noun, n), fmt.Sprintf("%d to %d", minimum, maximum))
	}
}

// ValidateRecord checks a record without regard to other records. The error lists all
// errors as FileErrors.
func ValidateRecord(record *savorystep.Record) error {
	return recordErrors(record).asError()
}

// recordErrors returns all errors of a record.
func recordErrors(record *savorystep.Record) FileErrors {
	v := &recordValidator{}
	if record.Schema != schemaOne && record.Schema != schemaTwo {
		v.addError("schema", fmt.Sprintf("unknown schema %d", record.Schema), "1, 2")
		return v.errs
	}
	if !isIdentifier(string(record.Service)) {
		v.addError("service", fmt.Sprintf("%q is not a valid service name", record.Service), allowedIdentifier)
	}
	v.checkNames(record)
	switch record.Prefer {
	case "", savorystep.PreferHeadroom, savorystep.PreferLatency:
	default:
		v.addError("prefer", fmt.Sprintf("unknown preference %q", record.Prefer), "headroom, latency")
	}
	v.checkShares(record)
	v.checkShifts(record)
	for _, region := range slices.Sorted(maps.Keys(record.InFlightLimits)) {
		key := keyLabel("limits", string(region))
		v.checkIdentifier(key, "region", string(region))
		v.checkRange(key, "limit", int(record.InFlightLimits[region]), 1, maxSlots)
	}
	if record.Schema == schemaOne {
		v.errs = append(v.errs, schemaOneErrors(record)...)
	}
	return v.errs
}

func (v *recordValidator) checkIdentifier(key, noun, text string) {
	if !isIdentifier(text) {
		v.addError(key, fmt.Sprintf("%q is not a valid %s name", text, noun), allowedIdentifier)
	}
}

func (v *recordValidator) checkNames(record *savorystep.Record) {
	if len(record.Aliases) > maxNames {
		v.addError("names", fmt.Sprintf("the record has %d names", len(record.Aliases)), fmt.Sprintf("at most %d", maxNames))
	}
	seen := map[savorystep.Name]bool{savorystep.Name(record.Service): true}
	for _, name := range record.Aliases {
		if !isName(string(name)) {
			v.addError("names", fmt.Sprintf("%q is not a valid name", name), allowedName)
		}
		if seen[name] {
			v.addError("names", fmt.Sprintf("%q is listed twice or is the name of the service", name), "each name once")
		}
		seen[name] = true
	}
}

func (v *recordValidator) checkShares(record *savorystep.Record) {
	section := sharesSectionName(record.Schema)
	type place struct {
		region savorystep.Region
		zone   savorystep.Zone
	}
	seen, regionShares, zoneShares := map[place]bool{}, map[savorystep.Region]bool{}, map[savorystep.Region]bool{}
	sum := 0
	for _, share := range record.Shares {
		key := shareLabel(record.Schema, share)
		v.checkIdentifier(key, "region", string(share.Region))
		if share.Zone != "" {
			v.checkIdentifier(key, "zone", string(share.Zone))
			zoneShares[share.Region] = true
		} else {
			regionShares[share.Region] = true
		}
		v.checkRange(key, "weight", share.Weight, 0, maxWeight)
		if seen[place{share.Region, share.Zone}] {
			v.addError(key, "duplicate share", "")
		}
		seen[place{share.Region, share.Zone}] = true
		if regionShares[share.Region] && zoneShares[share.Region] {
			v.addError(key, "the region has both a share for the whole region and shares for zones", "one or the other")
		}
		sum += max(share.Weight, 0)
	}
	if sum == 0 {
		v.addError(keyLabel(section, ""), "no weight is above 0", "at least one weight of 1 or more")
	}
}

func (v *recordValidator) checkShifts(record *savorystep.Record) {
	seen := map[[2]savorystep.Region]bool{}
	movedPercentages := map[savorystep.Region]int{}
	for _, shift := range record.Shifts {
		section := shiftSectionName(shift.From, shift.To)
		v.checkIdentifier(keyLabel(section, ""), "region", string(shift.From))
		v.checkIdentifier(keyLabel(section, ""), "region", string(shift.To))
		if shift.From == shift.To {
			v.addError(keyLabel(section, ""), "source and target of the shift are the same region", "two different regions")
		}
		if !hasShare(record, shift.From) {
			v.addError(keyLabel(section, ""), fmt.Sprintf("region %s has no share to move", shift.From), joinStrings(shareRegions(record)))
		}
		if seen[[2]savorystep.Region{shift.From, shift.To}] {
			v.addError(keyLabel(section, ""), "duplicate shift", "")
		}
		seen[[2]savorystep.Region{shift.From, shift.To}] = true
		v.checkRange(keyLabel(section, "percent"), "percent", shift.Percent, 0, maxPercent)
		v.checkRange(keyLabel(section, "cap"), "cap", int(shift.Cap), 0, maxSlots)
		v.checkRange(keyLabel(section, "growth"), "growth", shift.GrowthPerSecond, 0, maxGrowth)
		sumBefore := movedPercentages[shift.From]
		movedPercentages[shift.From] += max(shift.Percent, 0)
		if shift.Percent <= maxPercent && sumBefore <= maxPercent && movedPercentages[shift.From] > maxPercent {
			v.addError(keyLabel(section, "percent"), fmt.Sprintf("the shifts from %s sum up to %d percent", shift.From, movedPercentages[shift.From]), "at most 100 in all")
		}
	}
}

// hasShare reports whether a region has a share, including one of weight 0.
func hasShare(record *savorystep.Record, region savorystep.Region) bool {
	return slices.ContainsFunc(record.Shares, func(s savorystep.Share) bool { return s.Region == region })
}

// isShiftTarget reports whether a shift moves traffic into a region.
func isShiftTarget(record *savorystep.Record, region savorystep.Region) bool {
	return slices.ContainsFunc(record.Shifts, func(s savorystep.Shift) bool { return s.To == region })
}

// shareRegions returns the distinct regions with shares, in the order of the record.
func shareRegions(record *savorystep.Record) []savorystep.Region {
	var regions []savorystep.Region
	for _, share := range record.Shares {
		if !slices.Contains(regions, share.Region) {
			regions = append(regions, share.Region)
		}
	}
	return regions
}

func sharesSectionName(schema int) string {
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
	return keyLabel(sharesSectionName(schema), key)
}

func shiftSectionName(from, to savorystep.Region) string {
	return "shift " + string(from) + " " + string(to)
}
