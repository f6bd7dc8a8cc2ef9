package operator

import (
	"strings"

	"github.com/pmezard/go-difflib/difflib"

	"savorystep"
)

// diffContext is how many unchanged lines surround a change.
const diffContext = 3

// DiffRecords returns a unified diff of the files of two records, empty if
// they are the same. A nil record stands for a service without a record.
func DiffRecords(from, to *savorystep.Record, fromName, toName string) (string, error) {
	before, err := formatOwn(from)
	if err != nil {
		return "", err
	}
	after, err := formatOwn(to)
	if err != nil {
		return "", err
	}
	return difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: splitLines(before), FromFile: fromName,
		B: splitLines(after), ToFile: toName,
		Context: diffContext,
	})
}

// formatOwn formats a record in its own schema.
func formatOwn(record *savorystep.Record) (string, error) {
	if record == nil {
		return "", nil
	}
	data, err := FormatRecord(record, record.Schema)
	return string(data), err
}

// splitLines splits a text of whole lines; each keeps its line end.
func splitLines(text string) []string {
	lines := strings.SplitAfter(text, "\n")
	return lines[:len(lines)-1]
}
