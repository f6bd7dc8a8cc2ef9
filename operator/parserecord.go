package operator

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"savorystep"
)

// ParseRecord parses and validates a steering record in schema 1 or 2. The error lists
// all errors as FileErrors, in which file is the name of the file.
func ParseRecord(file string, data []byte) (*savorystep.Record, error) {
	f := parseINI(file, data)
	if len(f.errs) > 0 {
		return nil, f.errs.asError()
	}
	parser := &recordParser{iniFile: f}
	record := parser.parse()
	if len(f.errs) > 0 {
		return nil, f.errs.asError()
	}
	for _, recordErr := range recordErrors(record) {
		f.addError(f.lineOf(recordErr.Key), recordErr.Key, recordErr.Reason, recordErr.Allowed)
	}
	if err := f.errs.asError(); err != nil {
		return nil, err
	}
	return record, nil
}

// A recordParser converts an INI file to a record.
type recordParser struct {
	*iniFile
}

func (p *recordParser) parse() *savorystep.Record {
	record := &savorystep.Record{}
	p.parseTopKeys(record)
	if len(p.errs) > 0 {
		return record
	}
	for _, section := range p.sections[1:] {
		p.parseSection(section, record)
	}
	return record
}

// parseTopKeys parses the keys before the first section.
func (p *recordParser) parseTopKeys(record *savorystep.Record) {
	top := p.sections[0]
	allowedKeys := []string{"schema", "service", "names"}
	record.Schema = p.parseSchema(top)
	if record.Schema == schemaTwo {
		allowedKeys = append(allowedKeys, "prefer")
	}
	if !top.hasKey("service") {
		p.addError(1, "service", "the key is missing", allowedIdentifier)
	}
	for _, k := range top.keys {
		switch {
		case !slices.Contains(allowedKeys, k.name):
			p.addUnknownKeyError(top, k, allowedKeys)
		case k.name == "service":
			record.Service = savorystep.Service(k.value)
		case k.name == "names":
			for _, name := range splitList(k.value) {
				record.Aliases = append(record.Aliases, savorystep.Name(name))
			}
		case k.name == "prefer":
			record.Prefer = savorystep.Preference(k.value)
			if k.value == "" {
				p.addError(k.line, "prefer", "the key has no value", "headroom, latency")
			}
		}
	}
}

// parseSchema returns the schema, which determines the other keys and sections that are
// allowed.
func (p *recordParser) parseSchema(top *iniSection) int {
	schema := 0
	for _, k := range top.keys {
		if k.name == "schema" {
			schema = p.parseInt(top, k)
		}
	}
	switch {
	case !top.hasKey("schema"):
		p.addError(1, "schema", "the key is missing", "1, 2")
	case len(p.errs) == 0 && schema != schemaOne && schema != schemaTwo:
		p.addError(p.lineOf("schema"), "schema", fmt.Sprintf("unknown schema %d", schema), "1, 2")
	}
	return schema
}

// parseSection parses a section and adds its values to the record.
func (p *recordParser) parseSection(section *iniSection, record *savorystep.Record) {
	words := strings.Fields(section.name)
	switch {
	case section.name == sharesSectionName(record.Schema):
		for _, k := range section.keys {
			record.Shares = append(record.Shares, p.parseShare(section, k, record.Schema))
		}
	case record.Schema == schemaTwo && section.name == "limits":
		record.InFlightLimits = map[savorystep.Region]savorystep.Slots{}
		for _, k := range section.keys {
			record.InFlightLimits[savorystep.Region(k.name)] = savorystep.Slots(p.parseInt(section, k))
		}
	case record.Schema == schemaTwo && len(words) == 3 && section.name == shiftSectionName(savorystep.Region(words[1]), savorystep.Region(words[2])):
		record.Shifts = append(record.Shifts, p.parseShift(section, words))
	case record.Schema == schemaOne:
		p.addError(section.line, section.label(""), "schema 1 has no such section", "weights; schema 2 has more")
	default:
		p.addError(section.line, section.label(""), "unknown section", "shares, shift FROM TO, limits")
	}
}

func (p *recordParser) parseShare(section *iniSection, k iniKey, schema int) savorystep.Share {
	region, zone, hasZone := strings.Cut(k.name, "/")
	switch {
	case hasZone && schema == schemaOne:
		p.addError(k.line, section.label(k.name), "schema 1 has no zones", "the name of a region")
	case hasZone && zone == "":
		p.addError(k.line, section.label(k.name), "the zone name is empty", "REGION or REGION/ZONE")
	}
	return savorystep.Share{
		Region: savorystep.Region(region),
		Zone:   savorystep.Zone(zone),
		Weight: p.parseInt(section, k),
	}
}

func (p *recordParser) parseShift(section *iniSection, words []string) savorystep.Shift {
	shift := savorystep.Shift{From: savorystep.Region(words[1]), To: savorystep.Region(words[2])}
	for _, k := range section.keys {
		switch k.name {
		case "percent":
			shift.Percent = p.parseInt(section, k)
		case "cap":
			shift.Cap = savorystep.Slots(p.parseInt(section, k))
		case "growth":
			shift.GrowthPerSecond = p.parseInt(section, k)
		case "start":
			start, err := time.Parse(time.RFC3339Nano, k.value)
			// Formatting as RFC 3339 is limited to the years that are checked here.
			if err != nil || start.UTC().Year() < 1 || start.UTC().Year() > 9999 {
				p.addError(k.line, section.label(k.name), fmt.Sprintf("%q is not a time", k.value), "a time such as 2026-12-04T05:00:00Z; it may be left out")
				continue
			}
			shift.GrowthStart = start.UTC()
		default:
			p.addUnknownKeyError(section, k, []string{"percent", "cap", "growth", "start"})
		}
	}
	if !section.hasKey("percent") {
		p.addError(section.line, section.label("percent"), "the key is missing", "0 to 100")
	}
	return shift
}

func (p *recordParser) parseInt(section *iniSection, k iniKey) int {
	n, err := strconv.Atoi(k.value)
	if err != nil {
		p.addError(k.line, section.label(k.name), fmt.Sprintf("%q is not an integer", k.value), "")
	}
	return n
}

func (p *recordParser) addUnknownKeyError(section *iniSection, k iniKey, allowed []string) {
	p.addError(k.line, section.label(k.name), "unknown key", strings.Join(allowed, ", "))
}
