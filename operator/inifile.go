package operator

import (
	"fmt"
	"regexp"
	"strings"
	"unicode"
	"unicode/utf8"

	"gopkg.in/ini.v1"
)

// maxFileBytes bounds a settings or record file. The largest sensible record or list of
// blocks is far below it.
const maxFileBytes = 4 << 20

var (
	sectionPattern = regexp.MustCompile(`^\[([a-z0-9][a-z0-9 -]*)\]$`)
	keyPattern     = regexp.MustCompile(`^[a-z0-9][a-z0-9/-]*$`)
)

// An iniFile is a parsed INI file with the line numbers of its sections and keys, which
// the INI library does not provide, and the errors found in it.
type iniFile struct {
	name     string
	sections []*iniSection
	errs     FileErrors
}

// An iniSection is a section. The one with an empty name contains the keys before the
// first section header.
type iniSection struct {
	name string
	line int
	keys []iniKey
}

// An iniKey is a key with its value and line number.
type iniKey struct {
	name  string
	value string
	line  int
}

// label returns the name of a key, or of the section if key is empty, for messages.
func (s *iniSection) label(key string) string {
	return keyLabel(s.name, key)
}

// keyLabel returns the name of a key with its section for messages. Either may be empty.
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

// parseINI scans the sections and keys of a file and takes the values from the INI
// library. The scan rejects syntax that the library accepts but operators are unlikely
// to intend: duplicate keys, quotes, continuation lines and inherited sections.
func parseINI(name string, data []byte) *iniFile {
	f := &iniFile{name: name}
	if len(data) > maxFileBytes {
		f.addError(0, "", fmt.Sprintf("file size is %d bytes", len(data)), fmt.Sprintf("at most %d bytes", maxFileBytes))
		return f
	}
	if !utf8.Valid(data) {
		f.addError(0, "", "the file is not valid UTF-8", "")
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
	if len(f.errs) == 0 {
		f.loadValues(data)
	}
	return f
}

// scanSection adds the section whose header is on a line and returns it. If the header
// is invalid it returns the current section.
func (f *iniFile) scanSection(current *iniSection, line int, text string) *iniSection {
	match := sectionPattern.FindStringSubmatch(text)
	if match == nil {
		f.addError(line, text, "invalid section header", "lower-case letters, digits, '-' and spaces in brackets, alone on the line")
		return current
	}
	if first := f.section(match[1]); first != nil {
		f.addError(line, text, fmt.Sprintf("duplicate section, first defined on line %d", first.line), "")
	}
	section := &iniSection{name: match[1], line: line}
	f.sections = append(f.sections, section)
	return section
}

// scanKey adds the key on a line to a section.
func (f *iniFile) scanKey(section *iniSection, line int, text string) {
	key, value, found := strings.Cut(text, "=")
	key, value = strings.TrimSpace(key), strings.TrimSpace(value)
	switch {
	case !found:
		f.addError(line, section.label(""), fmt.Sprintf("%q is neither a section header nor a key with a value", text), "key = value")
		return
	case !keyPattern.MatchString(key):
		f.addError(line, section.label(key), "invalid key name", "lower-case letters, digits, '-' and '/'")
		return
	case strings.ContainsFunc(value, unicode.IsControl):
		f.addError(line, section.label(key), "the value contains a control character", "")
		return
	case value != "" && strings.ContainsRune("\"'`#;", rune(value[0])):
		f.addError(line, section.label(key), fmt.Sprintf("the value begins with %q", value[:1]), "values without quotes; comments on the key's line only after a value")
		return
	}
	for _, k := range section.keys {
		if k.name == key {
			f.addError(line, section.label(key), fmt.Sprintf("duplicate key, first set on line %d", k.line), "")
			return
		}
	}
	section.keys = append(section.keys, iniKey{name: key, line: line})
}

// loadValues sets the values of the scanned keys as parsed by the INI library.
func (f *iniFile) loadValues(data []byte) {
	loaded, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation:       true,
		KeyValueDelimiters:       "=",
		SpaceBeforeInlineComment: true,
	}, data)
	if err != nil {
		f.addError(0, "", err.Error(), "")
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
				f.addError(key.line, section.label(key.name), "the INI library finds no value", "")
				continue
			}
			key.value = loaded.Section(name).Key(key.name).Value()
		}
	}
}

// section returns the section with a name, nil if there is none.
func (f *iniFile) section(name string) *iniSection {
	for _, s := range f.sections {
		if s.name == name {
			return s
		}
	}
	return nil
}

// lineOf returns the line of the key with a label. If there is no such key, it returns
// the line of the section, and 1 if that is missing too.
func (f *iniFile) lineOf(label string) int {
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

// addError adds an error with the name of the file.
func (f *iniFile) addError(line int, key, reason, allowed string) {
	f.errs = append(f.errs, FileError{File: f.name, Line: line, Key: key, Reason: reason, Allowed: allowed})
}
