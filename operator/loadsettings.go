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

// LoadSettings reads the settings file of an instance. The error lists all
// faults as FileErrors.
func LoadSettings(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, savorystep.WrapError(savorystep.KindBadRequest, err, "read settings")
	}
	return ParseSettings(path, data)
}

// ParseSettings reads settings; file is the name used in faults.
func ParseSettings(file string, data []byte) (*Settings, error) {
	f := readINI(file, data)
	if len(f.faults) > 0 {
		return nil, f.faults.err()
	}
	keys := SettingsKeys()
	settings := &Settings{}
	for _, key := range keys {
		if key.Default == "" {
			continue
		}
		if err := key.set(settings, key.Default); err != nil {
			f.fail(0, key.label(), err.Error(), key.Allowed)
		}
	}
	for _, section := range f.sections {
		readSection(f, section, keys, settings)
	}
	for _, key := range keys {
		section := f.section(key.Section)
		if key.Required && (section == nil || !section.has(key.Key)) {
			f.fail(f.line(key.label()), key.label(), "the key is missing", key.Allowed)
		}
	}
	if len(f.faults) == 0 {
		checkSettings(f, settings)
	}
	if err := f.faults.err(); err != nil {
		return nil, err
	}
	return settings, nil
}

// has reports whether a section holds a key.
func (s *iniSection) has(name string) bool {
	return slices.ContainsFunc(s.keys, func(k iniKey) bool { return k.name == name })
}

// readSection stores the values of a section.
func readSection(f *iniFile, section *iniSection, keys []SettingsKey, settings *Settings) {
	if section.name == blocksSection {
		readBlocks(f, section, settings)
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
		f.fail(section.line, section.label(""), "the section is unknown", strings.Join(sectionNames(keys), ", "))
		return
	}
	for _, k := range section.keys {
		key, ok := byName[k.name]
		switch {
		case section.name == "":
			f.fail(k.line, k.name, "the key stands in no section", strings.Join(sectionNames(keys), ", "))
		case !ok:
			f.fail(k.line, section.label(k.name), "the key is unknown", strings.Join(names, ", "))
		case k.value == "":
			f.fail(k.line, section.label(k.name), "the key has no value", key.Allowed)
		default:
			if err := key.set(settings, k.value); err != nil {
				f.fail(k.line, section.label(k.name), err.Error(), key.Allowed)
			}
		}
	}
}

// sectionNames returns the names of the sections in order.
func sectionNames(keys []SettingsKey) []string {
	var names []string
	for _, key := range keys {
		if !slices.Contains(names, key.Section) {
			names = append(names, key.Section)
		}
	}
	return names
}

// readBlocks reads the blocks of clients. A prefix inside another is allowed,
// since the longest match counts; the same prefix twice is not.
func readBlocks(f *iniFile, section *iniSection, settings *Settings) {
	homes := map[netip.Prefix]string{}
	for _, k := range section.keys {
		label := section.label(k.name)
		if !isIdentifier(k.name) {
			f.fail(k.line, label, "the key is not the name of a region", allowedIdentifier)
			continue
		}
		for _, text := range splitList(k.value) {
			prefix, err := netip.ParsePrefix(text)
			if err != nil {
				f.fail(k.line, label, fmt.Sprintf("%q is not an IP prefix", text), "IP prefixes separated by commas, for example 10.1.0.0/16")
				continue
			}
			if prefix != prefix.Masked() {
				f.fail(k.line, label, fmt.Sprintf("%s has bits set beyond its length", text), prefix.Masked().String())
				continue
			}
			if home, ok := homes[prefix]; ok {
				f.fail(k.line, label, fmt.Sprintf("%s belongs to region %s already", text, home), "")
				continue
			}
			homes[prefix] = k.name
			settings.Blocks = append(settings.Blocks, savorystep.Block{Prefix: prefix, Home: savorystep.Region(k.name)})
		}
	}
	slices.SortFunc(settings.Blocks, func(a, b savorystep.Block) int {
		return cmp.Or(a.Prefix.Addr().Compare(b.Prefix.Addr()), cmp.Compare(a.Prefix.Bits(), b.Prefix.Bits()))
	})
}

// checkSettings refuses combinations of values that cannot work.
func checkSettings(f *iniFile, s *Settings) {
	refuse := func(section, key, reason, allowed string) {
		label := keyLabel(section, key)
		f.fail(f.line(label), label, reason, allowed)
	}
	listeners := []struct {
		key     string
		address savorystep.Address
	}{{"caller", s.Instance.CallerAddress}, {"peer", s.Instance.PeerAddress}, {"operator", s.Instance.OperatorAddress}}
	for i, listener := range listeners {
		for _, other := range listeners[:i] {
			if listener.address == other.address {
				refuse("instance", listener.key, fmt.Sprintf("%s is the address of %s too", listener.address, other.key), "an address of its own for each listener")
			}
		}
	}
	if slices.Contains(s.Peer.Seeds, s.Instance.PeerAddress) {
		refuse("peer", "seeds", "the instance's own peer address is among the seeds", "addresses of other instances")
	}
	if s.Operator.Token == "" && s.Operator.CAFile == "" {
		refuse("operator", "token", "operators have no way to prove who they are", "token, or cert, key and authority")
	}
	if s.Operator.Token != "" && s.Operator.Token == s.Peer.Secret {
		refuse("operator", "token", "the token equals the secret of peers", "a value of its own")
	}
	if (s.Operator.CertFile == "") != (s.Operator.KeyFile == "") {
		refuse("operator", "cert", "cert and key belong together", "both or neither")
	}
	if s.Operator.CAFile != "" && s.Operator.CertFile == "" {
		refuse("operator", "authority", "mutual TLS needs a certificate of the listener", "cert, key and authority")
	}
	// Releasing grants at a stop takes at least one call to the platform.
	if s.Platform.CallTimeout >= s.Limits.DrainTimeout {
		refuse("platform", "timeout", fmt.Sprintf("%s is not shorter than [limits] drain, %s", s.Platform.CallTimeout, s.Limits.DrainTimeout), "less than [limits] drain")
	}
}
