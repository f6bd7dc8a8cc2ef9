package operator_test

import (
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"savorystep"
	"savorystep/operator"
)

// TestRecords guards against records that are accepted although they cannot be
// steered by, and against a file that means something else after formatting.
func TestRecords(t *testing.T) {
	datadriven.RunTest(t, "testdata/records", func(t *testing.T, d *datadriven.TestData) string {
		t.Helper()
		// Short files stand on one line.
		input := strings.ReplaceAll(d.Input, " | ", "\n")
		if d.HasArg("head") {
			input = "schema = 2\nservice = orders\n[shares]\nhobart = 1\n" + input
		}
		record, err := operator.ParseRecord("record.ini", []byte(input))
		if err != nil {
			if kind := savorystep.KindOf(err); kind != savorystep.KindBadRequest {
				t.Errorf("kind %s", kind)
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
				t.Errorf("migrated record: %v", err)
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

// TestRecordTooLarge guards against a file that takes up the server's memory.
func TestRecordTooLarge(t *testing.T) {
	_, err := operator.ParseRecord("record.ini", []byte(strings.Repeat("# filler\n", 1<<20)))
	if err == nil || !strings.Contains(err.Error(), "at most") {
		t.Errorf("large file: %v", err)
	}
}

// FuzzRecord guards against a crash of the parser and against accepted records
// that do not survive formatting.
func FuzzRecord(f *testing.F) {
	f.Add([]byte("schema = 1\nservice = status\nnames = statsu\n\n[weights]\nrecife = 1\n"))
	f.Add([]byte("schema = 2\nservice = s\nprefer = headroom\n[shares]\na/b = 1\n[shift a c]\npercent = 5\nstart = 2026-12-04T05:00:00.5+01:00\n[limits]\na = 2\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		record, err := operator.ParseRecord("record.ini", data)
		if err != nil {
			if savorystep.KindOf(err) != savorystep.KindBadRequest {
				t.Fatalf("kind of %v", err)
			}
			return
		}
		text, err := operator.FormatRecord(record, record.Schema)
		if err != nil {
			t.Fatalf("format: %v", err)
		}
		again, err := operator.ParseRecord("record.ini", text)
		if err != nil {
			t.Fatalf("parse again: %v\n%s", err, text)
		}
		if diff, err := operator.DiffRecords(record, again, "first", "again"); err != nil || diff != "" {
			t.Fatalf("changed by formatting: %v\n%s", err, diff)
		}
	})
}

// FuzzSettings guards against a crash of the parser and against faults without
// a reason.
func FuzzSettings(f *testing.F) {
	f.Add([]byte("[instance]\nregion = recife\nzone = recife-a\ncaller = 10.1.0.1:7001\n[blocks]\nrecife = 10.1.0.0/16\n"))
	f.Add([]byte("[limits]\nheader = 16KiB # small\nlookups = 5/s\ndrain = 1m\n[peer]\nrate = 5KB/s\nseeds = [::1]:1\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		settings, err := operator.ParseSettings("savorystep.ini", data)
		if (settings == nil) == (err == nil) {
			t.Fatalf("settings %v, error %v", settings, err)
		}
		if err != nil && savorystep.KindOf(err) != savorystep.KindBadRequest {
			t.Fatalf("kind of %v", err)
		}
	})
}
