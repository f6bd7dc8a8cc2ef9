package operator

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"savorystep"
)

// ParseRecord reads a steering record of schema 1 or 2; file is the name used
// in faults. The error lists all faults as FileErrors.
func ParseRecord(file string, data []byte) (*savorystep.Record, error) {
	f := readINI(file, data)
	if len(f.faults) > 0 {
		return nil, f.faults.err()
	}
	r := &recordReader{iniFile: f}
	record := r.read()
	if len(f.faults) > 0 {
		return nil, f.faults.err()
	}
	for _, fault := range validate(record) {
		f.fail(f.line(fault.Key), fault.Key, fault.Reason, fault.Allowed)
	}
	if err := f.faults.err(); err != nil {
		return nil, err
	}
	return record, nil
}

// A recordReader reads a record from an INI file.
type recordReader struct {
	*iniFile
}

func (r *recordReader) read() *savorystep.Record {
	record := &savorystep.Record{}
	r.readTop(record)
	if len(r.faults) > 0 {
		return record
	}
	for _, section := range r.sections[1:] {
		r.readSection(section, record)
	}
	return record
}

// readTop reads the keys before the first section.
func (r *recordReader) readTop(record *savorystep.Record) {
	top := r.sections[0]
	allowed := []string{"schema", "service", "names"}
	record.Schema = r.readSchema(top)
	if record.Schema == schemaTwo {
		allowed = append(allowed, "prefer")
	}
	if !top.has("service") {
		r.fail(1, "service", "the key is missing", allowedIdentifier)
	}
	for _, k := range top.keys {
		switch {
		case !slices.Contains(allowed, k.name):
			r.unknownKey(top, k, allowed)
		case k.name == "service":
			record.Service = savorystep.Service(k.value)
		case k.name == "names":
			for _, name := range splitList(k.value) {
				record.Aliases = append(record.Aliases, savorystep.Name(name))
			}
		case k.name == "prefer":
			record.Prefer = savorystep.Preference(k.value)
			if k.value == "" {
				r.fail(k.line, "prefer", "the key has no value", "headroom, latency")
			}
		}
	}
}

// readSchema reads the schema, which says what else is allowed.
func (r *recordReader) readSchema(top *iniSection) int {
	schema := 0
	for _, k := range top.keys {
		if k.name == "schema" {
			schema = r.number(top, k)
		}
	}
	switch {
	case !top.has("schema"):
		r.fail(1, "schema", "the key is missing", "1, 2")
	case len(r.faults) == 0 && schema != schemaOne && schema != schemaTwo:
		r.fail(r.line("schema"), "schema", fmt.Sprintf("schema %d is unknown", schema), "1, 2")
	}
	return schema
}

// readSection reads a section of a record.
func (r *recordReader) readSection(section *iniSection, record *savorystep.Record) {
	words := strings.Fields(section.name)
	switch {
	case section.name == sharesSection(record.Schema):
		for _, k := range section.keys {
			record.Shares = append(record.Shares, r.share(section, k, record.Schema))
		}
	case record.Schema == schemaTwo && section.name == "limits":
		record.InFlightLimits = map[savorystep.Region]savorystep.Slots{}
		for _, k := range section.keys {
			record.InFlightLimits[savorystep.Region(k.name)] = savorystep.Slots(r.number(section, k))
		}
	case record.Schema == schemaTwo && len(words) == 3 && section.name == shiftSection(savorystep.Region(words[1]), savorystep.Region(words[2])):
		record.Shifts = append(record.Shifts, r.shift(section, words))
	case record.Schema == schemaOne:
		r.fail(section.line, section.label(""), "schema 1 has no such section", "weights; schema 2 has more")
	default:
		r.fail(section.line, section.label(""), "the section is unknown", "shares, shift FROM TO, limits")
	}
}

func (r *recordReader) share(section *iniSection, k iniKey, schema int) savorystep.Share {
	region, zone, zoned := strings.Cut(k.name, "/")
	switch {
	case zoned && schema == schemaOne:
		r.fail(k.line, section.label(k.name), "schema 1 has no zones", "the name of a region")
	case zoned && zone == "":
		r.fail(k.line, section.label(k.name), "the zone has no name", "REGION or REGION/ZONE")
	}
	return savorystep.Share{
		Region: savorystep.Region(region),
		Zone:   savorystep.Zone(zone),
		Weight: r.number(section, k),
	}
}

func (r *recordReader) shift(section *iniSection, words []string) savorystep.Shift {
	shift := savorystep.Shift{From: savorystep.Region(words[1]), To: savorystep.Region(words[2])}
	for _, k := range section.keys {
		switch k.name {
		case "percent":
			shift.Percent = r.number(section, k)
		case "cap":
			shift.Cap = savorystep.Slots(r.number(section, k))
		case "growth":
			shift.GrowthPerSecond = r.number(section, k)
		case "start":
			start, err := time.Parse(time.RFC3339Nano, k.value)
			// The year is bounded by what the format can write again.
			if err != nil || start.UTC().Year() < 1 || start.UTC().Year() > 9999 {
				r.fail(k.line, section.label(k.name), fmt.Sprintf("%q is not a time", k.value), "a time such as 2026-12-04T05:00:00Z; it may be left out")
				continue
			}
			shift.GrowthStart = start.UTC()
		default:
			r.unknownKey(section, k, []string{"percent", "cap", "growth", "start"})
		}
	}
	if !section.has("percent") {
		r.fail(section.line, section.label("percent"), "the key is missing", "0 to 100")
	}
	return shift
}

func (r *recordReader) number(section *iniSection, k iniKey) int {
	n, err := strconv.Atoi(k.value)
	if err != nil {
		r.fail(k.line, section.label(k.name), fmt.Sprintf("%q is not a whole number", k.value), "")
	}
	return n
}

func (r *recordReader) unknownKey(section *iniSection, k iniKey, allowed []string) {
	r.fail(k.line, section.label(k.name), "the key is unknown", strings.Join(allowed, ", "))
}
