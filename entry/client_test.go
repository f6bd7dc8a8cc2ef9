package entry_test

import (
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"savorystep"
	"savorystep/entry"
)

// A fakeEntry answers requests and lookups. Its lookups name the given
// addresses, then those of later.
type fakeEntry struct {
	*httptest.Server
	named, later []savorystep.Entry
	lookups      atomic.Int64
}

func newFakeEntry(t *testing.T) *fakeEntry {
	t.Helper()
	f := &fakeEntry{}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/lookup", func(w http.ResponseWriter, _ *http.Request) {
		lookup := savorystep.Lookup{Entries: f.named, TTLMillis: 5000}
		if f.lookups.Add(1) > 1 && f.later != nil {
			lookup.Entries = f.later
		}
		if err := json.NewEncoder(w).Encode(lookup); err != nil {
			t.Error(err)
		}
	})
	mux.HandleFunc("/s/", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("served")) })
	f.Server = httptest.NewServer(mux)
	t.Cleanup(f.Close)
	return f
}

func (f *fakeEntry) address() savorystep.Address {
	return savorystep.Address(f.Listener.Addr().String())
}

// deadAddress returns an address that refuses connections.
func deadAddress(t *testing.T) savorystep.Address {
	t.Helper()
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return savorystep.Address(listener.Addr().String())
}

// TestKilledEntryIsLeft guards against requests that fail although an entry
// runs, because a cached lookup names only one that was killed. It is the cause
// of the failures of TestProcessesKillEntry beside load.
func TestKilledEntryIsLeft(t *testing.T) {
	const requests = 50
	dead := deadAddress(t)
	for _, test := range []struct {
		name       string
		namedLater bool
		// maxLookups bounds the lookups of all requests together.
		maxLookups int64
	}{
		{name: "a new lookup names the other entry", namedLater: true, maxLookups: 2},
		{name: "the death is not known yet", maxLookups: 10},
	} {
		t.Run(test.name, func(t *testing.T) {
			alive := newFakeEntry(t)
			alive.named = []savorystep.Entry{{ID: "dead", Address: dead}}
			if test.namedLater {
				alive.later = []savorystep.Entry{{ID: "alive", Address: alive.address()}}
			}
			client := entry.NewClient(entry.ClientConfig{Clock: savorystep.SystemClock{}, SeedAddresses: []savorystep.Address{alive.address(), dead}})
			defer client.Close()
			for range requests {
				request := entry.Request{ID: "request", Name: "status", Method: http.MethodPost, Path: "/", Timeout: 10 * time.Second}
				response, err := client.Send(t.Context(), request)
				if err != nil || string(response.Body) != "served" {
					t.Fatalf("answer %v, error %v", response, err)
				}
			}
			if lookups := alive.lookups.Load(); lookups > test.maxLookups {
				t.Errorf("%d lookups for %d requests", lookups, requests)
			}
		})
	}
}
