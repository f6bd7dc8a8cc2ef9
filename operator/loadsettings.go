package operator

import (
	"cmp"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"

	"savorystep"
)

// LoadSettings reads and parses the settings file of an instance. The error has kind
// KindBadRequest; errors in the file are FileErrors.
func LoadSettings(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, savorystep.WrapError(savorystep.KindBadRequest, err, "read settings file")
	}
	return ParseSettings(path, data)
}

// ParseSettings parses and validates settings. The error lists all errors as FileErrors,
// in which file is the name of the file.
func ParseSettings(file string, data []byte) (*Settings, error) {
	f := parseINI(file, data)
	if len(f.errs) > 0 {
		return nil, f.errs.asError()
	}
	keys := SettingsKeys()
	settings := &Settings{}
	for _, key := range keys {
		if key.Default == "" {
			continue
		}
		if err := key.set(settings, key.Default); err != nil {
			f.addError(0, key.label(), err.Error(), key.Allowed)
		}
	}
	for _, section := range f.sections {
		storeSection(f, section, keys, settings)
	}
	for _, key := range keys {
		section := f.section(key.Section)
		if key.Required && (section == nil || !section.hasKey(key.Key)) {
			f.addError(f.lineOf(key.label()), key.label(), "the key is missing", key.Allowed)
		}
	}
	if len(f.errs) == 0 {
		validateSettings(f, settings)
	}
	if err := f.errs.asError(); err != nil {
		return nil, err
	}
	return settings, nil
}

// hasKey reports whether a section contains a key.
func (s *iniSection) hasKey(name string) bool {
	return slices.ContainsFunc(s.keys, func(k iniKey) bool { return k.name == name })
}

// storeSection parses the values of a section and stores them in settings.
func storeSection(f *iniFile, section *iniSection, keys []SettingsKey, settings *Settings) {
	if section.name == blocksSection {
		storeBlocks(f, section, settings)
		return
	}
	var names []string
	byName := map[string]SettingsKey{}
	for _, key := range keys {
		if key.Section == section.name {
			names = append(names, key.Key)
			byName[key.Key] = key
		}
	}
	if len(names) == 0 && section.name != "" {
		f.addError(section.line, section.label(""), "unknown section", strings.Join(sectionNames(keys), ", "))
		return
	}
	for _, k := range section.keys {
		key, ok := byName[k.name]
		switch {
		case section.name == "":
			f.addError(k.line, k.name, "the key is outside of any section", strings.Join(sectionNames(keys), ", "))
		case !ok:
			f.addError(k.line, section.label(k.name), "unknown key", strings.Join(names, ", "))
		case k.value == "":
			f.addError(k.line, section.label(k.name), "the key has no value", key.Allowed)
		default:
			if err := key.set(settings, k.value); err != nil {
				f.addError(k.line, section.label(k.name), err.Error(), key.Allowed)
			}
		}
	}
}

// sectionNames returns the distinct sections of keys in order.
func sectionNames(keys []SettingsKey) []string {
	var names []string
	for _, key := range keys {
		if !slices.Contains(names, key.Section) {
			names = append(names, key.Section)
		}
	}
	return names
}

// storeBlocks parses the client blocks and stores them in settings, sorted by prefix. A
// prefix may contain another one, since lookups use the longest match, but no prefix may
// be listed twice.
func storeBlocks(f *iniFile, section *iniSection, settings *Settings) {
	regionByPrefix := map[netip.Prefix]string{}
	for _, k := range section.keys {
		label := section.label(k.name)
		if !isIdentifier(k.name) {
			f.addError(k.line, label, "the key is not a valid region name", allowedIdentifier)
			continue
		}
		for _, text := range splitList(k.value) {
			prefix, err := netip.ParsePrefix(text)
			if err != nil {
				f.addError(k.line, label, fmt.Sprintf("%q is not an IP prefix", text), "IP prefixes separated by commas, for example 10.1.0.0/16")
				continue
			}
			if prefix != prefix.Masked() {
				f.addError(k.line, label, fmt.Sprintf("%s has bits set beyond the prefix length", text), prefix.Masked().String())
				continue
			}
			if region, ok := regionByPrefix[prefix]; ok {
				f.addError(k.line, label, fmt.Sprintf("%s already belongs to region %s", text, region), "")
				continue
			}
			regionByPrefix[prefix] = k.name
			settings.Blocks = append(settings.Blocks, savorystep.Block{Prefix: prefix, Home: savorystep.Region(k.name)})
		}
	}
	slices.SortFunc(settings.Blocks, func(a, b savorystep.Block) int {
		return cmp.Or(a.Prefix.Addr().Compare(b.Prefix.Addr()), cmp.Compare(a.Prefix.Bits(), b.Prefix.Bits()))
	})
}

// validateSettings adds an error for each combination of values that is inconsistent.
func validateSettings(f *iniFile, s *Settings) {
	addError := func(section, key, reason, allowed string) {
		label := keyLabel(section, key)
		f.addError(f.lineOf(label), label, reason, allowed)
	}
	listeners := []struct {
		key     string
		address savorystep.Address
	}{{"caller", s.Instance.CallerAddress}, {"peer", s.Instance.PeerAddress}, {"operator", s.Instance.OperatorAddress}}
	for i, listener := range listeners {
		for _, other := range listeners[:i] {
			if listener.address == other.address {
				addError("instance", listener.key, fmt.Sprintf("%s is also the address of the %s listener", listener.address, other.key), "an address of its own for each listener")
			}
		}
	}
	if slices.Contains(s.Peer.Seeds, s.Instance.PeerAddress) {
		addError("peer", "seeds", "the list contains the instance's own peer address", "addresses of other instances")
	}
	if s.Operator.Token == "" && s.Operator.CAFile == "" {
		addError("operator", "token", "no authentication method is set for operators", "token, or cert, key and authority")
	}
	if s.Operator.Token != "" && s.Operator.Token == s.Peer.Secret {
		addError("operator", "token", "the token equals [peer] secret", "a value of its own")
	}
	if (s.Operator.CertFile == "") != (s.Operator.KeyFile == "") {
		addError("operator", "cert", "only one of cert and key is set", "both or neither")
	}
	if s.Operator.CAFile != "" && s.Operator.CertFile == "" {
		addError("operator", "authority", "mutual TLS requires a certificate of the listener", "cert, key and authority")
	}
	// At shutdown the instance releases its grants, which takes at least one call to
	// the platform.
	if s.Platform.CallTimeout >= s.Limits.DrainTimeout {
		addError("platform", "timeout", fmt.Sprintf("%s is not shorter than [limits] drain, %s", s.Platform.CallTimeout, s.Limits.DrainTimeout), "less than [limits] drain")
	}
}
