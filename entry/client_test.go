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

// A fakeEntry is an entry that serves requests and lookups and counts the lookups. The
// response to the first lookup has the entries in firstEntries. If laterEntries is not
// nil, the responses to further lookups have those.
type fakeEntry struct {
	*httptest.Server
	firstEntries, laterEntries []savorystep.Entry
	lookups                    atomic.Int64
}

func newFakeEntry(t *testing.T) *fakeEntry {
	t.Helper()
	f := &fakeEntry{}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/lookup", func(w http.ResponseWriter, _ *http.Request) {
		lookup := savorystep.Lookup{Entries: f.firstEntries, TTLMillis: 5000}
		if f.lookups.Add(1) > 1 && f.laterEntries != nil {
			lookup.Entries = f.laterEntries
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

// closedAddress returns an address that refuses connections.
func closedAddress(t *testing.T) savorystep.Address {
	t.Helper()
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return savorystep.Address(listener.Addr().String())
}

// TestClientKilledEntry guards against requests that fail although an entry is running,
// because the cached lookup response contains only an entry that was killed. This made
// TestProcessesKillEntry fail on a loaded machine.
func TestClientKilledEntry(t *testing.T) {
	const requests = 50
	dead := closedAddress(t)
	for _, test := range []struct {
		name                  string
		aliveInLaterResponses bool
		// maxLookups is the maximum number of lookups for all requests together.
		maxLookups int64
	}{
		{name: "later lookup responses have the running entry", aliveInLaterResponses: true, maxLookups: 2},
		{name: "lookup responses still have the killed entry", maxLookups: 10},
	} {
		t.Run(test.name, func(t *testing.T) {
			alive := newFakeEntry(t)
			alive.firstEntries = []savorystep.Entry{{ID: "dead", Address: dead}}
			if test.aliveInLaterResponses {
				alive.laterEntries = []savorystep.Entry{{ID: "alive", Address: alive.address()}}
			}
			client := entry.NewClient(entry.ClientConfig{Clock: savorystep.SystemClock{}, SeedAddresses: []savorystep.Address{alive.address(), dead}})
			defer client.Close()
			for range requests {
				request := entry.Request{ID: "request", Name: "status", Method: http.MethodPost, Path: "/", Timeout: 10 * time.Second}
				response, err := client.Send(t.Context(), request)
				if err != nil || string(response.Body) != "served" {
					t.Fatalf("response = %v, error = %v, want body served", response, err)
				}
			}
			if lookups := alive.lookups.Load(); lookups > test.maxLookups {
				t.Errorf("%d lookups for %d requests, want at most %d", lookups, requests, test.maxLookups)
			}
		})
	}
}
