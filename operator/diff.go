package operator

import (
	"strings"

	"github.com/pmezard/go-difflib/difflib"

	"savorystep"
)

// diffContext is the number of unchanged lines before and after each change.
const diffContext = 3

// DiffRecords returns a unified diff of the files of two records, empty if the files
// are equal. Each file is in the schema of its record. A nil record means that the
// service has none, and is compared as an empty file.
func DiffRecords(from, to *savorystep.Record, fromName, toName string) (string, error) {
	before, err := formatInOwnSchema(from)
	if err != nil {
		return "", err
	}
	after, err := formatInOwnSchema(to)
	if err != nil {
		return "", err
	}
	return difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: splitLines(before), FromFile: fromName,
		B: splitLines(after), ToFile: toName,
		Context: diffContext,
	})
}

// formatInOwnSchema returns the file of a record in the record's schema, empty for nil.
func formatInOwnSchema(record *savorystep.Record) (string, error) {
	if record == nil {
		return "", nil
	}
	data, err := FormatRecord(record, record.Schema)
	return string(data), err
}

// splitLines splits a text, which is empty or ends in a newline, into lines that keep
// their newlines.
func splitLines(text string) []string {
	lines := strings.SplitAfter(text, "\n")
	return lines[:len(lines)-1]
}
