package store_test

import (
	"context"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"savorystep"
	"savorystep/standin"
	"savorystep/store"
)

// addCrash adds the crash of a request to a log.
func addCrash(ctx context.Context, log *store.CrashLog, crashes savorystep.RequestCrashes) error {
	return log.Edit(ctx, func(known []savorystep.RequestCrashes) ([]savorystep.RequestCrashes, bool) {
		return append(known, crashes), true
	})
}

// readCrashes returns the crashes in a log.
func readCrashes(t *testing.T, log *store.CrashLog) []savorystep.RequestCrashes {
	t.Helper()
	var list []savorystep.RequestCrashes
	if err := log.Edit(t.Context(), func(known []savorystep.RequestCrashes) ([]savorystep.RequestCrashes, bool) {
		list = known
		return nil, false
	}); err != nil {
		t.Fatal(err)
	}
	return list
}

// addCrashWithin adds the crash of a request to a log within the time of the context. The
// platform refuses calls beyond its rate, which are made again.
func addCrashWithin(ctx context.Context, log *store.CrashLog, crashes savorystep.RequestCrashes) error {
	for {
		err := addCrash(ctx, log, crashes)
		if err == nil || ctx.Err() != nil {
			return err
		}
	}
}

// TestCrashLogKeepsAllWrites guards against a crash that is lost because several
// instances write the row at the same time.
func TestCrashLogKeepsAllWrites(t *testing.T) {
	platform, client := startStandin(t, standin.PlatformFaults{})
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	var group sync.WaitGroup
	for i := range 12 {
		group.Go(func() {
			crashes := savorystep.RequestCrashes{Fingerprint: savorystep.Fingerprint(i), Streak: 3}
			if err := addCrashWithin(ctx, store.NewCrashLog(client), crashes); err != nil {
				t.Error(err)
			}
		})
	}
	group.Wait()
	// The read that follows must not be refused for the calls before it.
	platform.SetFaults(standin.PlatformFaults{MaxReadsPerSecond: -1, MaxWritesPerSecond: -1})
	if got := len(readCrashes(t, store.NewCrashLog(client))); got != 12 {
		t.Errorf("%d requests in the log, want 12", got)
	}
}

// TestCrashLogRowIsBounded guards against a row that the platform rejects because it has
// grown too large, after which nothing would be saved any more. The newest crashes stay.
func TestCrashLogRowIsBounded(t *testing.T) {
	_, client := startStandin(t, standin.PlatformFaults{})
	log := store.NewCrashLog(client)
	if err := log.Edit(t.Context(), func([]savorystep.RequestCrashes) ([]savorystep.RequestCrashes, bool) {
		var list []savorystep.RequestCrashes
		for i := range 5000 {
			list = append(list, savorystep.RequestCrashes{Fingerprint: savorystep.Fingerprint(i), Streak: 3, LastCrashMillis: int64(i), Request: strings.Repeat("r", 120)})
		}
		return list, true
	}); err != nil {
		t.Fatal(err)
	}
	list := readCrashes(t, log)
	if len(list) < 100 || len(list) == 5000 || list[0].Fingerprint != 4999 {
		t.Errorf("%d requests in the log, the first one %+v, want at least 100, the newest first", len(list), list[0])
	}
	row, err := client.Get(t.Context(), "crashes")
	if err != nil || len(row.Value) > 32<<10 {
		t.Errorf("row of %d bytes, error %v, want at most 32 KiB", len(row.Value), err)
	}
}

// TestCrashLogOddRow guards against an instance that ends, or saves nothing any more,
// because another writer left a row that can't be decoded.
func TestCrashLogOddRow(t *testing.T) {
	want := []savorystep.RequestCrashes{{
		Fingerprint: 1, Streak: 3, LastCrashMillis: 5, Request: "GET /", WasAnswered: true, ProbedAtMillis: 4, Endpoints: []savorystep.EndpointID{"e"},
	}}
	for _, value := range []string{"{}", "\x9f", strings.Repeat("\x81", 20_000), "\x9b\xff\xff\xff\xff\xff\xff\xff\xff", "\x81\xa1\x01\x20", "\x81\xa1\x02\x1b\xff\xff\xff\xff\xff\xff\xff\xff"} {
		_, client := startStandin(t, standin.PlatformFaults{})
		if _, err := client.Commit(t.Context(), savorystep.Txn{Writes: []savorystep.Write{{Key: "crashes", Value: []byte(value)}}}); err != nil {
			t.Fatal(err)
		}
		log := store.NewCrashLog(client)
		if err := addCrash(t.Context(), log, want[0]); err != nil {
			t.Errorf("after row %.20q: %v", value, err)
		}
		if got := readCrashes(t, log); !reflect.DeepEqual(got, want) {
			t.Errorf("after row %.20q: crashes %+v, want those of request 1 only: %+v", value, got, want)
		}
	}
}
