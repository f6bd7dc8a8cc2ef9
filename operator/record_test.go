package operator_test

import (
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"savorystep"
	"savorystep/operator"
)

// TestRecords guards against invalid records that are accepted, against error messages
// without file, line, key and allowed values, and against a record that is different
// after formatting or migration.
func TestRecords(t *testing.T) {
	datadriven.RunTest(t, "testdata/records", func(t *testing.T, d *datadriven.TestData) string {
		t.Helper()
		// Short files are written on one line, with " | " for line ends.
		input := strings.ReplaceAll(d.Input, " | ", "\n")
		if d.HasArg("head") {
			input = "schema = 2\nservice = orders\n[shares]\nhobart = 1\n" + input
		}
		record, err := operator.ParseRecord("record.ini", []byte(input))
		if err != nil {
			if kind := savorystep.KindOf(err); kind != savorystep.KindBadRequest {
				t.Errorf("error kind %s, want %s: %v", kind, savorystep.KindBadRequest, err)
			}
			return err.Error() + "\n"
		}
		switch d.Cmd {
		case "migrate":
			migrated, diff, err := operator.MigrateRecord(record)
			if err != nil {
				return err.Error() + "\n"
			}
			if err := operator.ValidateRecord(migrated); err != nil {
				t.Errorf("the migrated record is invalid: %v", err)
			}
			return diff
		case "format":
			var schema int
			d.ScanArgs(t, "schema", &schema)
			data, err := operator.FormatRecord(record, schema)
			if err != nil {
				return err.Error() + "\n"
			}
			return string(data)
		default:
			return "ok\n"
		}
	})
}

// TestRecordTooLarge guards against a large file that exhausts the memory of the server,
// since the parser keeps all lines.
func TestRecordTooLarge(t *testing.T) {
	_, err := operator.ParseRecord("record.ini", []byte(strings.Repeat("# filler\n", 1<<20)))
	if err == nil || !strings.Contains(err.Error(), "at most") {
		t.Errorf("parse a file of 9 MiB: error %v, want the maximum size", err)
	}
}

// FuzzRecord guards against a panic of the parser and against valid records that are
// invalid or different after formatting.
func FuzzRecord(f *testing.F) {
	f.Add([]byte("schema = 1\nservice = status\nnames = statsu\n\n[weights]\nrecife = 1\n"))
	f.Add([]byte("schema = 2\nservice = s\nprefer = headroom\n[shares]\na/b = 1\n[shift a c]\npercent = 5\nstart = 2026-12-04T05:00:00.5+01:00\n[limits]\na = 2\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		record, err := operator.ParseRecord("record.ini", data)
		if err != nil {
			if savorystep.KindOf(err) != savorystep.KindBadRequest {
				t.Fatalf("error %v, want kind %s", err, savorystep.KindBadRequest)
			}
			return
		}
		text, err := operator.FormatRecord(record, record.Schema)
		if err != nil {
			t.Fatalf("format a valid record: %v", err)
		}
		parsedAgain, err := operator.ParseRecord("record.ini", text)
		if err != nil {
			t.Fatalf("parse the formatted record: %v\n%s", err, text)
		}
		if diff, err := operator.DiffRecords(record, parsedAgain, "first", "again"); err != nil || diff != "" {
			t.Fatalf("the record changed by formatting: error %v, diff\n%s", err, diff)
		}
	})
}

// FuzzSettings guards against a panic of the parser, and against a result with both or
// neither of settings and an error.
func FuzzSettings(f *testing.F) {
	f.Add([]byte("[instance]\nregion = recife\nzone = recife-a\ncaller = 10.1.0.1:7001\n[blocks]\nrecife = 10.1.0.0/16\n"))
	f.Add([]byte("[limits]\nheader = 16KiB # small\nlookups = 5/s\ndrain = 1m\n[peer]\nrate = 5KB/s\nseeds = [::1]:1\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		settings, err := operator.ParseSettings("savorystep.ini", data)
		if (settings == nil) == (err == nil) {
			t.Fatalf("settings %v, error %v; want exactly one of them", settings, err)
		}
		if err != nil && savorystep.KindOf(err) != savorystep.KindBadRequest {
			t.Fatalf("error %v, want kind %s", err, savorystep.KindBadRequest)
		}
	})
}
