package standin_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"savorystep"
	"savorystep/standin"
)

// call sends a request to handler and decodes the response into value if its
// status is 200. It returns the status.
func call(t *testing.T, handler http.Handler, method, path string, body, value any) int {
	t.Helper()
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequestWithContext(t.Context(), method, path, encodeBody(t, body)))
	if value != nil && recorder.Code == http.StatusOK {
		if err := json.Unmarshal(recorder.Body.Bytes(), value); err != nil {
			t.Fatal(err)
		}
	}
	return recorder.Code
}

// encodeBody returns the JSON form of the body of a request.
func encodeBody(t *testing.T, body any) *bytes.Reader {
	t.Helper()
	encoded, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	return bytes.NewReader(encoded)
}

// TestPlatformFaults guards against faults that POST /faults doesn't set, against
// faults that stay set although a later body doesn't name them, and against
// unknown names that are ignored.
func TestPlatformFaults(t *testing.T) {
	p := standin.NewPlatform(standin.PlatformConfig{})
	if code := call(t, p, http.MethodPost, "/faults", map[string]any{"down": true}, nil); code != http.StatusOK {
		t.Errorf("status %d for POST /faults, want 200", code)
	}
	if code := call(t, p, http.MethodGet, "/table/row?key=a", nil, nil); code != http.StatusServiceUnavailable {
		t.Errorf("status %d while down, want 503", code)
	}
	var faults standin.PlatformFaults
	call(t, p, http.MethodPost, "/faults", map[string]any{"lose": 2, "lag": 70}, &faults)
	if want := (standin.PlatformFaults{LoseResponses: 2, ListLagMillis: 70}); faults != want || p.Faults() != want {
		t.Errorf("faults %+v, want %+v", faults, want)
	}
	if code := call(t, p, http.MethodPost, "/faults", map[string]any{"dwon": true}, nil); code != http.StatusBadRequest {
		t.Errorf("status %d for an unknown fault, want 400", code)
	}
	if want := (standin.PlatformFaults{LoseResponses: 2, ListLagMillis: 70}); p.Faults() != want {
		t.Errorf("an unknown fault changed the faults to %+v", p.Faults())
	}
	if code := call(t, p, http.MethodGet, "/table/row?key=a", nil, nil); code != http.StatusOK {
		t.Errorf("status %d after the outage, want 200", code)
	}
}

// TestPlatformRates guards against rate limits other than the configured ones and
// against counters that include rejected calls.
func TestPlatformRates(t *testing.T) {
	p := standin.NewPlatform(standin.PlatformConfig{Faults: standin.PlatformFaults{MaxWritesPerSecond: 20, MaxReadsPerSecond: 50}})
	txn := savorystep.Txn{Writes: []savorystep.Write{{Key: "a"}, {Key: "b"}}}
	refused := 0
	start := time.Now()
	for range 10 {
		if call(t, p, http.MethodPost, "/table/commit", txn, nil) == http.StatusTooManyRequests {
			refused++
		}
		if call(t, p, http.MethodGet, "/table/row?key=a", nil, nil) == http.StatusTooManyRequests {
			refused++
		}
	}
	seconds := time.Since(start).Seconds()
	var stats standin.PlatformStats
	call(t, p, http.MethodGet, "/stats", nil, &stats)
	// The burst is the number of calls in a tenth of a second.
	if maxCalls := 2 + 20*seconds; stats.Writes < 2 || float64(stats.Writes) > maxCalls {
		t.Errorf("%d writes, want 2 to %.1f", stats.Writes, maxCalls)
	}
	if maxCalls := 5 + 50*seconds; stats.Reads < 5 || float64(stats.Reads) > maxCalls {
		t.Errorf("%d reads, want 5 to %.1f", stats.Reads, maxCalls)
	}
	if stats.Rows != 2*stats.Writes || int(stats.Refused) != refused || stats.Reads+stats.Writes+stats.Refused != 20 {
		t.Errorf("stats %+v after %d refusals of 20 calls", stats, refused)
	}
}

// fakeClock is a clock that only advance moves.
type fakeClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *fakeClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *fakeClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// TestPlatformLag guards against a member that is listed before the lag has
// passed since its registration.
func TestPlatformLag(t *testing.T) {
	clock := &fakeClock{now: time.Now()}
	p := standin.NewPlatform(standin.PlatformConfig{Clock: clock, Faults: standin.PlatformFaults{ListLagMillis: 1000}})
	server := httptest.NewServer(p)
	defer server.Close()
	body, err := json.Marshal(savorystep.Instance{ID: "i"})
	if err != nil {
		t.Fatal(err)
	}
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/instances", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	listed := func() int {
		var instances []savorystep.Instance
		call(t, p, http.MethodGet, "/instances", nil, &instances)
		return len(instances)
	}
	for _, step := range []struct {
		advance time.Duration
		want    int
	}{{advance: 0, want: 0}, {advance: 999 * time.Millisecond, want: 0}, {advance: time.Millisecond, want: 1}} {
		clock.advance(step.advance)
		if got := listed(); got != step.want {
			t.Errorf("%d listed instances, want %d", got, step.want)
		}
	}
	if err := response.Body.Close(); err != nil {
		t.Fatal(err)
	}
}
