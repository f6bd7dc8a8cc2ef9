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

// A SettingsKey describes a key of the settings file.
type SettingsKey struct {
	Section string `json:"section"`
	Key     string `json:"key"`
	// Type is "address", "addresses", "bytes", "count", "duration", "file",
	// "name", "prefixes", "rate" or "text".
	Type string `json:"type"`
	// Unit lists the units that the value must have, empty if it has none.
	Unit string `json:"unit,omitempty"`
	// Default is the default value, empty if there is none.
	Default     string `json:"default,omitempty"`
	Required    bool   `json:"required,omitempty"`
	Allowed     string `json:"allowed"`
	Description string `json:"description"`

	// set parses and validates a value and stores it in s.
	set func(s *Settings, value string) error
}

// label returns the name of the key with its section for messages.
func (k SettingsKey) label() string {
	return keyLabel(k.Section, k.Key)
}

// blocksSection is the section of client blocks, whose keys are the names of regions.
const blocksSection = "blocks"

// SettingsKeys returns the descriptions of all keys in the order of the reference page.
func SettingsKeys() []SettingsKey {
	return []SettingsKey{
		required(nameKey("instance", "region", "Region that the instance runs in", func(s *Settings, v string) { s.Instance.Region = savorystep.Region(v) })),
		required(nameKey("instance", "zone", "Availability zone that the instance runs in", func(s *Settings, v string) { s.Instance.Zone = savorystep.Zone(v) })),
		required(addressKey("instance", "caller", "Listener for callers; this address is published to callers and peers", func(s *Settings) *savorystep.Address { return &s.Instance.CallerAddress })),
		required(addressKey("instance", "peer", "Listener for other instances", func(s *Settings) *savorystep.Address { return &s.Instance.PeerAddress })),
		required(addressKey("instance", "operator", "Listener for operators", func(s *Settings) *savorystep.Address { return &s.Instance.OperatorAddress })),
		required(addressKey("platform", "address", "Address of the platform's service", func(s *Settings) *savorystep.Address { return &s.Platform.Address })),
		durationKey("platform", "timeout", "1s", 50*time.Millisecond, 30*time.Second, "Longest time that a call to the platform may take", func(s *Settings) *time.Duration { return &s.Platform.CallTimeout }),
		seedsKey(),
		required(textKey("peer", "secret", 16, "Shared secret that authenticates instances to each other", func(s *Settings) *string { return &s.Peer.Secret })),
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

// required returns the key marked as required.
func required(key SettingsKey) SettingsKey {
	key.Required = true
	return key
}

func nameKey(section, key, description string, store func(*Settings, string)) SettingsKey {
	return SettingsKey{
		Section: section, Key: key, Type: "name", Allowed: allowedIdentifier, Description: description,
		set: func(s *Settings, value string) error {
			if !isIdentifier(value) {
				return fmt.Errorf("%q is not a valid name", value)
			}
			store(s, value)
			return nil
		},
	}
}

const allowedAddress = "an IP number and a port from 1 to 65535, for example 10.1.0.1:7001"

func addressKey(section, key, description string, target func(*Settings) *savorystep.Address) SettingsKey {
	return SettingsKey{
		Section: section, Key: key, Type: "address", Allowed: allowedAddress, Description: description,
		set: func(s *Settings, value string) error {
			address, err := parseAddress(value)
			*target(s) = address
			return err
		},
	}
}

func seedsKey() SettingsKey {
	return SettingsKey{
		Section: "peer", Key: "seeds", Type: "addresses", Allowed: "addresses separated by commas, for example 10.1.0.2:7002, 10.2.0.1:7002",
		Description: "Peer addresses of other instances, dialed to join them even if the platform is down",
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

func textKey(section, key string, minLength int, description string, target func(*Settings) *string) SettingsKey {
	return SettingsKey{
		Section: section, Key: key, Type: "text", Allowed: fmt.Sprintf("at least %d characters without spaces", minLength), Description: description,
		set: func(s *Settings, value string) error {
			// The value is a secret, so the message must not contain it.
			if len(value) < minLength {
				return fmt.Errorf("the value has %d bytes, want at least %d", len(value), minLength)
			}
			if strings.ContainsAny(value, " \t") {
				return errors.New("the value contains a space or tab")
			}
			*target(s) = value
			return nil
		},
	}
}

func fileKey(key, description string, target func(*Settings) *string) SettingsKey {
	return SettingsKey{
		Section: "operator", Key: key, Type: "file", Allowed: "the name of a PEM file", Description: description,
		set: func(s *Settings, value string) error {
			*target(s) = value
			return nil
		},
	}
}

func durationKey(section, key, defaultValue string, minimum, maximum time.Duration, description string, target func(*Settings) *time.Duration) SettingsKey {
	return SettingsKey{
		Section: section, Key: key, Type: "duration", Unit: "ms, s, m or h", Default: defaultValue,
		Allowed:     fmt.Sprintf("%s to %s", shortDuration(minimum), shortDuration(maximum)),
		Description: description,
		set: func(s *Settings, value string) error {
			d, err := time.ParseDuration(value)
			if err != nil {
				return fmt.Errorf("%q is not a duration with a unit", value)
			}
			if d < minimum || d > maximum {
				return fmt.Errorf("%s is out of range", value)
			}
			*target(s) = d
			return nil
		},
	}
}

// bytesKey returns a key for a size in bytes, or a rate in bytes per second if the
// default ends in "/s".
func bytesKey(section, key, defaultValue string, minimum, maximum int64, description string, target func(*Settings) *int64) SettingsKey {
	keyType, unit, suffix := "bytes", "B, KB, MB, GB, KiB, MiB or GiB", ""
	if strings.HasSuffix(defaultValue, "/s") {
		keyType, unit, suffix = "rate", "B/s, KB/s, MB/s, GB/s, KiB/s, MiB/s or GiB/s", "/s"
	}
	return SettingsKey{
		Section: section, Key: key, Type: keyType, Unit: unit, Default: defaultValue,
		Allowed:     fmt.Sprintf("%s%s to %s%s", formatBytes(minimum), suffix, formatBytes(maximum), suffix),
		Description: description,
		set: func(s *Settings, value string) error {
			text, ok := strings.CutSuffix(value, suffix)
			if !ok {
				return fmt.Errorf("%q has no %s unit", value, keyType)
			}
			n, err := parseBytes(text)
			if err != nil {
				return err
			}
			if n < minimum || n > maximum {
				return fmt.Errorf("%s is out of range", value)
			}
			*target(s) = n
			return nil
		},
	}
}

func countKey(section, key, unit, defaultValue string, minimum, maximum int, description string, target func(*Settings) *int) SettingsKey {
	keyType := "count"
	if unit != "" {
		keyType = "rate"
	}
	return SettingsKey{
		Section: section, Key: key, Type: keyType, Unit: unit, Default: defaultValue,
		Allowed:     fmt.Sprintf("%d%s to %d%s", minimum, unit, maximum, unit),
		Description: description,
		set: func(s *Settings, value string) error {
			text, ok := strings.CutSuffix(value, unit)
			n, err := strconv.Atoi(text)
			if !ok || err != nil {
				return fmt.Errorf("%q is not an integer%s", value, withUnit(unit))
			}
			if n < minimum || n > maximum {
				return fmt.Errorf("%s is out of range", value)
			}
			*target(s) = n
			return nil
		},
	}
}

// withUnit returns the part of an error message that names a required unit, if any.
func withUnit(unit string) string {
	if unit == "" {
		return ""
	}
	return " followed by " + unit
}

// parseAddress parses an address that other instances can connect to. Host names are
// rejected because instances are addressed by IP address. The unspecified address and
// port 0 are rejected because the address is published to peers.
func parseAddress(text string) (savorystep.Address, error) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return "", fmt.Errorf("%q is not an IP address with a port", text)
	}
	if address.Addr().IsUnspecified() || address.Port() == 0 {
		return "", fmt.Errorf("%s is not reachable from other instances", text)
	}
	return savorystep.Address(address.String()), nil
}

// shortDuration formats a duration without trailing zero units, for example "1h".
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

// splitList splits a comma-separated list and trims the spaces around items. It returns
// nil for a blank text.
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
