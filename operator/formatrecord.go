package operator

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"savorystep"
)

// FormatRecord returns the file of a record in the given schema, 1 or 2. Another schema,
// or a record that schema 1 cannot express, gives FileErrors.
func FormatRecord(record *savorystep.Record, schema int) ([]byte, error) {
	var errs FileErrors
	switch schema {
	case schemaOne:
		errs = schemaOneErrors(record)
	case schemaTwo:
	default:
		errs = FileErrors{{Key: "schema", Reason: fmt.Sprintf("unknown schema %d", schema), Allowed: "1, 2"}}
	}
	if err := errs.asError(); err != nil {
		return nil, err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "schema = %d\nservice = %s\n", schema, record.Service)
	if len(record.Aliases) > 0 {
		fmt.Fprintf(&b, "names = %s\n", joinStrings(record.Aliases))
	}
	if record.Prefer != "" && schema == schemaTwo {
		fmt.Fprintf(&b, "prefer = %s\n", record.Prefer)
	}
	fmt.Fprintf(&b, "\n[%s]\n", sharesSectionName(schema))
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
	fmt.Fprintf(b, "\n[%s]\npercent = %d\n", shiftSectionName(shift.From, shift.To), shift.Percent)
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

// schemaOneErrors returns an error for each part of a record that schema 1 cannot
// express.
func schemaOneErrors(record *savorystep.Record) FileErrors {
	const allowed = "schema 2"
	var errs FileErrors
	addError := func(key, reason string) {
		errs = append(errs, FileError{Key: key, Reason: reason, Allowed: allowed})
	}
	// Schema 1 implies PreferLatency, so nothing is lost without the key.
	if record.Prefer != "" && record.Prefer != savorystep.PreferLatency {
		addError("prefer", "schema 1 has no preference")
	}
	for _, share := range record.Shares {
		if share.Zone != "" {
			addError(shareLabel(schemaTwo, share), "schema 1 has no zones")
		}
	}
	for _, shift := range record.Shifts {
		addError(keyLabel(shiftSectionName(shift.From, shift.To), ""), "schema 1 has no shifts")
	}
	for _, region := range slices.Sorted(maps.Keys(record.InFlightLimits)) {
		addError(keyLabel("limits", string(region)), "schema 1 has no limits")
	}
	return errs
}

// joinStrings joins values of a string type with commas.
func joinStrings[T ~string](list []T) string {
	texts := make([]string, len(list))
	for i, item := range list {
		texts[i] = string(item)
	}
	return strings.Join(texts, ", ")
}
