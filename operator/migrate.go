package operator

import (
	"savorystep"
)

// MigrateRecord returns a copy of a record in schema 2 and the change of its file as
// a diff. A record of schema 2 is returned as it is, with an empty diff.
func MigrateRecord(record *savorystep.Record) (*savorystep.Record, string, error) {
	migrated := cloneRecord(record)
	migrated.Schema = schemaTwo
	if record.Schema == schemaTwo {
		return migrated, "", nil
	}
	// Schema 1 means latency without saying so.
	migrated.Prefer = savorystep.PreferLatency
	diff, err := DiffRecords(record, migrated, "schema 1", "schema 2")
	return migrated, diff, err
}
