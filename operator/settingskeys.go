package operator

import (
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"savorystep"
)

// A SettingsKey describes one key of the settings.
type SettingsKey struct {
	Section string `json:"section"`
	Key     string `json:"key"`
	// Type is "address", "addresses", "bytes", "count", "duration", "file",
	// "name", "prefixes", "rate" or "text".
	Type string `json:"type"`
	// Unit is empty if the type has none.
	Unit string `json:"unit,omitempty"`
	// Default is empty if the key has none.
	Default     string `json:"default,omitempty"`
	Required    bool   `json:"required,omitempty"`
	Allowed     string `json:"allowed"`
	Description string `json:"description"`

	// set checks and stores a value.
	set func(s *Settings, value string) error
}

// label returns the form of the key in messages.
func (k SettingsKey) label() string {
	return keyLabel(k.Section, k.Key)
}

// blocksSection is the section whose keys are the names of regions.
const blocksSection = "blocks"

// SettingsKeys returns the table of all keys in the order of the reference.
func SettingsKeys() []SettingsKey {
	return []SettingsKey{
		required(nameKey("instance", "region", "Region that the instance runs in", func(s *Settings, v string) { s.Instance.Region = savorystep.Region(v) })),
		required(nameKey("instance", "zone", "Availability zone that the instance runs in", func(s *Settings, v string) { s.Instance.Zone = savorystep.Zone(v) })),
		required(addressKey("instance", "caller", "Listener for callers; callers and peers are told this address", func(s *Settings) *savorystep.Address { return &s.Instance.CallerAddress })),
		required(addressKey("instance", "peer", "Listener for other instances", func(s *Settings) *savorystep.Address { return &s.Instance.PeerAddress })),
		required(addressKey("instance", "operator", "Listener for operators", func(s *Settings) *savorystep.Address { return &s.Instance.OperatorAddress })),
		required(addressKey("platform", "address", "Address of the platform's service", func(s *Settings) *savorystep.Address { return &s.Platform.Address })),
		durationKey("platform", "timeout", "1s", 50*time.Millisecond, 30*time.Second, "Longest time that a call to the platform may take", func(s *Settings) *time.Duration { return &s.Platform.CallTimeout }),
		seedsKey(),
		required(textKey("peer", "secret", 16, "Shared secret by which instances know each other", func(s *Settings) *string { return &s.Peer.Secret })),
		bytesKey("peer", "rate", "5KB/s", 1e3, 1e9, "Most bytes that the instance sends to peers per second", func(s *Settings) *int64 { return &s.Peer.MaxBytesPerSecond }),
		textKey("operator", "token", 16, "Bearer token of operators", func(s *Settings) *string { return &s.Operator.Token }),
		fileKey("cert", "Certificate of the operators' listener", func(s *Settings) *string { return &s.Operator.CertFile }),
		fileKey("key", "Private key of the certificate", func(s *Settings) *string { return &s.Operator.KeyFile }),
		fileKey("authority", "Certificate authority of operators' certificates; turns on mutual TLS", func(s *Settings) *string { return &s.Operator.CAFile }),
		bytesKey("limits", "header", "16KiB", 1<<10, 1<<20, "Largest header of a request", func(s *Settings) *int64 { return &s.Limits.MaxHeaderBytes }),
		bytesKey("limits", "body", "64MiB", 1<<10, 1<<34, "Largest body of a request", func(s *Settings) *int64 { return &s.Limits.MaxBodyBytes }),
		countKey("limits", "connections", "", "4096", 1, 1000000, "Most open connections of callers", func(s *Settings) *int { return &s.Limits.MaxConnections }),
		countKey("limits", "lookups", "/s", "2000/s", 1, 1000000, "Most lookups per second", func(s *Settings) *int { return &s.Limits.MaxLookupsPerSecond }),
		durationKey("limits", "drain", "30s", time.Second, time.Hour, "Longest time that a stop waits for requests in flight", func(s *Settings) *time.Duration { return &s.Limits.DrainTimeout }),
		countKey("log", "level", "", "0", 0, 5, "Verbosity of the log", func(s *Settings) *int { return &s.Log.Verbosity }),
		{
			Section: blocksSection, Key: "<region>", Type: "prefixes",
			Allowed:     "IP prefixes separated by commas",
			Description: "Blocks of clients that are served from a region by default; the key is the region's name",
		},
	}
}

// required marks a key that has no default.
func required(key SettingsKey) SettingsKey {
	key.Required = true
	return key
}

func nameKey(section, key, description string, store func(*Settings, string)) SettingsKey {
	return SettingsKey{
		Section: section, Key: key, Type: "name", Allowed: allowedIdentifier, Description: description,
		set: func(s *Settings, value string) error {
			if !isIdentifier(value) {
				return fmt.Errorf("%q is not a name", value)
			}
			store(s, value)
			return nil
		},
	}
}

const allowedAddress = "an IP number and a port from 1 to 65535, for example 10.1.0.1:7001"

func addressKey(section, key, description string, at func(*Settings) *savorystep.Address) SettingsKey {
	return SettingsKey{
		Section: section, Key: key, Type: "address", Allowed: allowedAddress, Description: description,
		set: func(s *Settings, value string) error {
			address, err := parseAddress(value)
			*at(s) = address
			return err
		},
	}
}

func seedsKey() SettingsKey {
	return SettingsKey{
		Section: "peer", Key: "seeds", Type: "addresses", Allowed: "addresses separated by commas, for example 10.1.0.2:7002, 10.2.0.1:7002",
		Description: "Peer addresses of other instances, asked when the platform is down at the start",
		set: func(s *Settings, value string) error {
			for _, text := range splitList(value) {
				address, err := parseAddress(text)
				if err != nil {
					return err
				}
				s.Peer.Seeds = append(s.Peer.Seeds, address)
			}
			return nil
		},
	}
}

func textKey(section, key string, least int, description string, at func(*Settings) *string) SettingsKey {
	return SettingsKey{
		Section: section, Key: key, Type: "text", Allowed: fmt.Sprintf("at least %d characters without spaces", least), Description: description,
		set: func(s *Settings, value string) error {
			// The value itself stays out of the message because it is a secret.
			if len(value) < least {
				return fmt.Errorf("the value has only %d characters", len(value))
			}
			if strings.ContainsAny(value, " \t") {
				return errors.New("the value has a space")
			}
			*at(s) = value
			return nil
		},
	}
}

func fileKey(key, description string, at func(*Settings) *string) SettingsKey {
	return SettingsKey{
		Section: "operator", Key: key, Type: "file", Allowed: "the name of a PEM file", Description: description,
		set: func(s *Settings, value string) error {
			*at(s) = value
			return nil
		},
	}
}

func durationKey(section, key, preset string, least, most time.Duration, description string, at func(*Settings) *time.Duration) SettingsKey {
	return SettingsKey{
		Section: section, Key: key, Type: "duration", Unit: "ms, s, m or h", Default: preset,
		Allowed:     fmt.Sprintf("%s to %s", shortDuration(least), shortDuration(most)),
		Description: description,
		set: func(s *Settings, value string) error {
			d, err := time.ParseDuration(value)
			if err != nil {
				return fmt.Errorf("%q is not a duration with a unit", value)
			}
			if d < least || d > most {
				return fmt.Errorf("%s is out of bounds", value)
			}
			*at(s) = d
			return nil
		},
	}
}

// bytesKey describes a size, or a rate if the default ends in "/s".
func bytesKey(section, key, preset string, least, most int64, description string, at func(*Settings) *int64) SettingsKey {
	kind, unit, suffix := "bytes", "B, KB, MB, GB, KiB, MiB or GiB", ""
	if strings.HasSuffix(preset, "/s") {
		kind, unit, suffix = "rate", "B/s, KB/s, MB/s, GB/s, KiB/s, MiB/s or GiB/s", "/s"
	}
	return SettingsKey{
		Section: section, Key: key, Type: kind, Unit: unit, Default: preset,
		Allowed:     fmt.Sprintf("%s%s to %s%s", formatBytes(least), suffix, formatBytes(most), suffix),
		Description: description,
		set: func(s *Settings, value string) error {
			text, ok := strings.CutSuffix(value, suffix)
			if !ok {
				return fmt.Errorf("%q has no unit of %s", value, kind)
			}
			n, err := parseBytes(text)
			if err != nil {
				return err
			}
			if n < least || n > most {
				return fmt.Errorf("%s is out of bounds", value)
			}
			*at(s) = n
			return nil
		},
	}
}

func countKey(section, key, unit, preset string, least, most int, description string, at func(*Settings) *int) SettingsKey {
	kind := "count"
	if unit != "" {
		kind = "rate"
	}
	return SettingsKey{
		Section: section, Key: key, Type: kind, Unit: unit, Default: preset,
		Allowed:     fmt.Sprintf("%d%s to %d%s", least, unit, most, unit),
		Description: description,
		set: func(s *Settings, value string) error {
			text, ok := strings.CutSuffix(value, unit)
			n, err := strconv.Atoi(text)
			if !ok || err != nil {
				return fmt.Errorf("%q is not a whole number%s", value, withUnit(unit))
			}
			if n < least || n > most {
				return fmt.Errorf("%s is out of bounds", value)
			}
			*at(s) = n
			return nil
		},
	}
}

func withUnit(unit string) string {
	if unit == "" {
		return ""
	}
	return " followed by " + unit
}

// parseAddress reads an address that other instances can reach. Names are
// refused because instances are addressed by IP number; the unspecified
// address and port 0 are refused because peers are told the address.
func parseAddress(text string) (savorystep.Address, error) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return "", fmt.Errorf("%q is not an IP number with a port", text)
	}
	if address.Addr().IsUnspecified() || address.Port() == 0 {
		return "", fmt.Errorf("%s cannot be reached by others", text)
	}
	return savorystep.Address(address.String()), nil
}

// shortDuration returns a duration without zero units, for example "1h".
func shortDuration(d time.Duration) string {
	text := d.String()
	text = strings.TrimSuffix(text, "m0s")
	if text != d.String() {
		text += "m"
	}
	if short, ok := strings.CutSuffix(text, "h0m"); ok {
		text = short + "h"
	}
	return text
}

// splitList splits a list at its commas and drops the spaces around items. An
// empty text gives no items.
func splitList(text string) []string {
	if strings.TrimSpace(text) == "" {
		return nil
	}
	items := strings.Split(text, ",")
	for i := range items {
		items[i] = strings.TrimSpace(items[i])
	}
	return items
}
