package operator

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"savorystep"
)

// FormatRecord writes a record as a file of the given schema. A record that
// schema 1 cannot express is refused with FileErrors when schema is 1.
func FormatRecord(record *savorystep.Record, schema int) ([]byte, error) {
	var faults FileErrors
	switch schema {
	case schemaOne:
		faults = beyondSchemaOne(record)
	case schemaTwo:
	default:
		faults = FileErrors{{Key: "schema", Reason: fmt.Sprintf("schema %d is unknown", schema), Allowed: "1, 2"}}
	}
	if err := faults.err(); err != nil {
		return nil, err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "schema = %d\nservice = %s\n", schema, record.Service)
	if len(record.Aliases) > 0 {
		fmt.Fprintf(&b, "names = %s\n", joinTexts(record.Aliases))
	}
	if record.Prefer != "" && schema == schemaTwo {
		fmt.Fprintf(&b, "prefer = %s\n", record.Prefer)
	}
	fmt.Fprintf(&b, "\n[%s]\n", sharesSection(schema))
	for _, share := range record.Shares {
		key := string(share.Region)
		if share.Zone != "" {
			key += "/" + string(share.Zone)
		}
		fmt.Fprintf(&b, "%s = %d\n", key, share.Weight)
	}
	for _, shift := range record.Shifts {
		formatShift(&b, shift)
	}
	if len(record.InFlightLimits) > 0 {
		b.WriteString("\n[limits]\n")
		for _, region := range slices.Sorted(maps.Keys(record.InFlightLimits)) {
			fmt.Fprintf(&b, "%s = %d\n", region, record.InFlightLimits[region])
		}
	}
	return []byte(b.String()), nil
}

func formatShift(b *strings.Builder, shift savorystep.Shift) {
	fmt.Fprintf(b, "\n[%s]\npercent = %d\n", shiftSection(shift.From, shift.To), shift.Percent)
	if shift.Cap != 0 {
		fmt.Fprintf(b, "cap = %d\n", shift.Cap)
	}
	if shift.GrowthPerSecond != 0 {
		fmt.Fprintf(b, "growth = %d\n", shift.GrowthPerSecond)
	}
	if !shift.GrowthStart.IsZero() {
		fmt.Fprintf(b, "start = %s\n", shift.GrowthStart.UTC().Format(time.RFC3339Nano))
	}
}

// beyondSchemaOne returns what a record holds that schema 1 cannot express.
func beyondSchemaOne(record *savorystep.Record) FileErrors {
	const allowed = "schema 2"
	var faults FileErrors
	refuse := func(key, reason string) {
		faults = append(faults, FileError{Key: key, Reason: reason, Allowed: allowed})
	}
	// Latency is what schema 1 means, so it is no loss to leave it out.
	if record.Prefer != "" && record.Prefer != savorystep.PreferLatency {
		refuse("prefer", "schema 1 has no preference")
	}
	for _, share := range record.Shares {
		if share.Zone != "" {
			refuse(shareLabel(schemaTwo, share), "schema 1 has no zones")
		}
	}
	for _, shift := range record.Shifts {
		refuse(keyLabel(shiftSection(shift.From, shift.To), ""), "schema 1 has no shifts")
	}
	for _, region := range slices.Sorted(maps.Keys(record.InFlightLimits)) {
		refuse(keyLabel("limits", string(region)), "schema 1 has no limits")
	}
	return faults
}

// joinTexts lists texts of any named type.
func joinTexts[T ~string](list []T) string {
	texts := make([]string, len(list))
	for i, item := range list {
		texts[i] = string(item)
	}
	return strings.Join(texts, ", ")
}
