package operator

import (
	"fmt"
	"regexp"
	"strings"
	"unicode"
	"unicode/utf8"

	"gopkg.in/ini.v1"
)

// maxFileBytes bounds a file; the largest sensible record or list of blocks is
// far below it.
const maxFileBytes = 4 << 20

var (
	sectionPattern = regexp.MustCompile(`^\[([a-z0-9][a-z0-9 -]*)\]$`)
	keyPattern     = regexp.MustCompile(`^[a-z0-9][a-z0-9/-]*$`)
)

// An iniFile is a parsed INI file with the lines that its keys stand on, which
// the INI library does not tell.
type iniFile struct {
	name     string
	sections []*iniSection
	faults   FileErrors
}

// An iniSection is a section; the one with an empty name holds the keys before
// the first section.
type iniSection struct {
	name string
	line int
	keys []iniKey
}

// An iniKey is a key and its value.
type iniKey struct {
	name  string
	value string
	line  int
}

// label returns the form of a key in messages.
func (s *iniSection) label(key string) string {
	return keyLabel(s.name, key)
}

func keyLabel(section, key string) string {
	switch {
	case section == "":
		return key
	case key == "":
		return "[" + section + "]"
	default:
		return "[" + section + "] " + key
	}
}

// readINI scans the lines strictly and takes the values from the INI library.
// The strict scan refuses what the library accepts but operators do not mean:
// duplicate keys, quotes, continuation lines and inherited sections.
func readINI(name string, data []byte) *iniFile {
	f := &iniFile{name: name}
	if len(data) > maxFileBytes {
		f.fail(0, "", fmt.Sprintf("the file has %d bytes", len(data)), fmt.Sprintf("at most %d bytes", maxFileBytes))
		return f
	}
	if !utf8.Valid(data) {
		f.fail(0, "", "the file is not UTF-8 text", "")
		return f
	}
	section := &iniSection{}
	f.sections = append(f.sections, section)
	for i, text := range strings.Split(string(data), "\n") {
		text = strings.TrimSpace(text)
		switch {
		case text == "", text[0] == '#', text[0] == ';':
		case text[0] == '[':
			section = f.scanSection(section, i+1, text)
		default:
			f.scanKey(section, i+1, text)
		}
	}
	if len(f.faults) == 0 {
		f.loadValues(data)
	}
	return f
}

// scanSection opens the section on a line.
func (f *iniFile) scanSection(current *iniSection, line int, text string) *iniSection {
	match := sectionPattern.FindStringSubmatch(text)
	if match == nil {
		f.fail(line, text, "this is not a section", "lower-case letters, digits, '-' and spaces in brackets, alone on the line")
		return current
	}
	if first := f.section(match[1]); first != nil {
		f.fail(line, text, fmt.Sprintf("the section stands on line %d already", first.line), "")
	}
	section := &iniSection{name: match[1], line: line}
	f.sections = append(f.sections, section)
	return section
}

// scanKey adds the key on a line.
func (f *iniFile) scanKey(section *iniSection, line int, text string) {
	key, value, found := strings.Cut(text, "=")
	key, value = strings.TrimSpace(key), strings.TrimSpace(value)
	switch {
	case !found:
		f.fail(line, section.label(""), fmt.Sprintf("%q is neither a section nor a key with a value", text), "key = value")
		return
	case !keyPattern.MatchString(key):
		f.fail(line, section.label(key), "this is not a key", "lower-case letters, digits, '-' and '/'")
		return
	case strings.ContainsFunc(value, unicode.IsControl):
		f.fail(line, section.label(key), "the value holds a control character", "")
		return
	case value != "" && strings.ContainsRune("\"'`#;", rune(value[0])):
		f.fail(line, section.label(key), fmt.Sprintf("the value begins with %q", value[:1]), "values without quotes; comments on the key's line only after a value")
		return
	}
	for _, k := range section.keys {
		if k.name == key {
			f.fail(line, section.label(key), fmt.Sprintf("the key stands on line %d already", k.line), "")
			return
		}
	}
	section.keys = append(section.keys, iniKey{name: key, line: line})
}

// loadValues fills in the values that the INI library reads.
func (f *iniFile) loadValues(data []byte) {
	loaded, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation:       true,
		KeyValueDelimiters:       "=",
		SpaceBeforeInlineComment: true,
	}, data)
	if err != nil {
		f.fail(0, "", err.Error(), "")
		return
	}
	for _, section := range f.sections {
		name := section.name
		if name == "" {
			name = ini.DefaultSection
		}
		for i := range section.keys {
			key := &section.keys[i]
			if !loaded.Section(name).HasKey(key.name) {
				f.fail(key.line, section.label(key.name), "the value cannot be read", "")
				continue
			}
			key.value = loaded.Section(name).Key(key.name).Value()
		}
	}
}

// section returns a named section, or nil.
func (f *iniFile) section(name string) *iniSection {
	for _, s := range f.sections {
		if s.name == name {
			return s
		}
	}
	return nil
}

// line returns the line of a label, the line of its section if the key is
// missing, and otherwise 1.
func (f *iniFile) line(label string) int {
	line := 1
	for _, s := range f.sections {
		if s.name != "" && strings.HasPrefix(label, s.label("")) {
			line = s.line
		}
		for _, k := range s.keys {
			if s.label(k.name) == label {
				return k.line
			}
		}
	}
	return line
}

// fail adds a fault.
func (f *iniFile) fail(line int, key, reason, allowed string) {
	f.faults = append(f.faults, FileError{File: f.name, Line: line, Key: key, Reason: reason, Allowed: allowed})
}
