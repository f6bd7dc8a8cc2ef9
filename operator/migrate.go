package operator

import (
	"savorystep"
)

// MigrateRecord returns a copy of a record in schema 2, and a unified diff of the record
// files. For a record in schema 2 the diff is empty.
func MigrateRecord(record *savorystep.Record) (*savorystep.Record, string, error) {
	migrated := cloneRecord(record)
	migrated.Schema = schemaTwo
	if record.Schema == schemaTwo {
		return migrated, "", nil
	}
	// Schema 1 has no preference and implies PreferLatency.
	migrated.Prefer = savorystep.PreferLatency
	diff, err := DiffRecords(record, migrated, "schema 1", "schema 2")
	return migrated, diff, err
}
