package store_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"savorystep"
	"savorystep/standin"
	"savorystep/store"
)

// newHandlerClient returns a client of a server with the handler.
func newHandlerClient(t *testing.T, handler http.HandlerFunc) *store.Client {
	t.Helper()
	server := httptest.NewServer(handler)
	client := store.NewClient(store.ClientConfig{
		Address: savorystep.Address(strings.TrimPrefix(server.URL, "http://")),
		Timeout: 500 * time.Millisecond,
	})
	t.Cleanup(func() {
		client.Close()
		server.CloseClientConnections()
		server.Close()
	})
	return client
}

// TestClientMalformed guards against malformed responses that are accepted:
// each must give an error of kind KindPlatformDown that says what is wrong.
func TestClientMalformed(t *testing.T) {
	commit := func(c *store.Client) error {
		_, err := c.Commit(context.Background(), savorystep.Txn{Conditions: []savorystep.Condition{{Key: "a", Version: 3}}})
		return err
	}
	get := func(c *store.Client) error { _, err := c.Get(context.Background(), "a"); return err }
	scan := func(c *store.Client) error { _, err := c.Scan(context.Background(), "a/", "a/b", 2); return err }
	instances := func(c *store.Client) error { _, err := c.Instances(context.Background()); return err }
	endpoints := func(c *store.Client) error { _, err := c.Endpoints(context.Background()); return err }
	cases := []struct {
		name, body, detail string
		call               func(*store.Client) error
	}{
		{name: "commit cut short", body: `{"version":`, detail: "malformed commit", call: commit},
		{name: "commit empty", body: `{}`, detail: "neither a version nor conflicts", call: commit},
		{name: "commit of another row", body: `{"conflicts":[{"key":"b","version":1}]}`, detail: "no condition", call: commit},
		{name: "commit without conflict", body: `{"conflicts":[{"key":"a","version":3}]}`, detail: "required version", call: commit},
		{name: "endpoints cut short", body: `[{"id":"e","service":"s","state":"live"}`, detail: "not an array", call: endpoints},
		{name: "endpoints cut in an entry", body: `[{"id":"e","service":"s","state":"live"},{"a":[]`, detail: "end within an element", call: endpoints},
		{name: "endpoints that end twice", body: `[{"id":"e","service":"s","state":"live"}]]`, detail: "ends at byte", call: endpoints},
		{name: "member of unknown state", body: `[{"id":"i","state":"gone"}]`, detail: `state "gone"`, call: instances},
		{name: "member without ID", body: `[{"state":"live"}]`, detail: "without ID", call: instances},
		{name: "row of another key", body: `{"key":"b","version":1}`, detail: `instead of "a"`, call: get},
		{name: "row missing with value", body: `{"key":"a","version":0,"value":"eA=="}`, detail: "no version", call: get},
		{name: "row not base64", body: `{"key":"a","version":1,"value":"?"}`, detail: "malformed row", call: get},
		{name: "rows before the start", body: `[{"key":"a/b","version":1}]`, detail: "after", call: scan},
		{name: "rows out of order", body: `[{"key":"a/d","version":1},{"key":"a/c","version":1}]`, detail: "after", call: scan},
		{name: "rows of another prefix", body: `[{"key":"b/c","version":1}]`, detail: "prefix", call: scan},
		{name: "rows too many", body: `[{"key":"a/c","version":1},{"key":"a/d","version":1},{"key":"a/e","version":1}]`, detail: "at most 2", call: scan},
		{name: "rows without version", body: `[{"key":"a/c"}]`, detail: "no version", call: scan},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			client := newHandlerClient(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, c.body) })
			err := c.call(client)
			wantKind(t, err, savorystep.KindPlatformDown)
			if err == nil || !strings.Contains(err.Error(), c.detail) {
				t.Errorf("error %v does not contain %q", err, c.detail)
			}
		})
	}
}

// TestClientBounds guards against endless and truncated responses.
func TestClientBounds(t *testing.T) {
	t.Run("cut off", func(t *testing.T) {
		client := newHandlerClient(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, `{"key":"a","version":1}`)
		})
		_, err := client.Get(t.Context(), "a")
		wantKind(t, err, savorystep.KindPlatformDown)
	})
	t.Run("without end", func(t *testing.T) {
		client := newHandlerClient(t, func(w http.ResponseWriter, r *http.Request) {
			block := make([]byte, 1<<20)
			for r.Context().Err() == nil {
				if _, err := w.Write(block); err != nil {
					return
				}
			}
		})
		_, err := client.Objects().Get(t.Context(), "a")
		wantKind(t, err, savorystep.KindPlatformDown)
	})
}

// TestClientFaults guards against a wrong error kind for each fault of the
// platform, and against a commit that the client sends twice.
func TestClientFaults(t *testing.T) {
	p, client := startStandin(t, standin.PlatformFaults{})
	txn := savorystep.Txn{Writes: []savorystep.Write{{Key: "a", Value: []byte("x")}}}
	version := func() savorystep.RowVersion {
		row, err := client.Get(t.Context(), "a")
		if err != nil {
			t.Fatal(err)
		}
		return row.Version
	}
	p.SetFaults(standin.PlatformFaults{Down: true})
	_, err := client.Commit(t.Context(), txn)
	wantKind(t, err, savorystep.KindPlatformDown)
	if !errors.Is(err, store.ErrRefused) {
		t.Errorf("commit refused by the platform: error %v, want ErrRefused", err)
	}
	p.SetFaults(standin.PlatformFaults{DelayMillis: 5000})
	_, err = client.Get(t.Context(), "a")
	wantKind(t, err, savorystep.KindPlatformDown)
	p.SetFaults(standin.PlatformFaults{LoseResponses: 1})
	_, err = client.Commit(t.Context(), txn)
	wantKind(t, err, savorystep.KindPlatformDown)
	if errors.Is(err, store.ErrRefused) || version() != 1 {
		t.Errorf("commit with a lost response: error %v at version %d, want an error other than ErrRefused at version 1", err, version())
	}
	p.SetFaults(standin.PlatformFaults{CommitDelayMillis: 2000})
	_, err = client.Commit(t.Context(), txn)
	wantKind(t, err, savorystep.KindPlatformDown)
	if got := version(); got != 1 {
		t.Errorf("version %d before the late commit, want 1", got)
	}
	for deadline := time.Now().Add(20 * time.Second); version() != 2; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("version %d 20 s after the late commit, want 2", version())
		}
	}
	_, err = client.Objects().Get(t.Context(), "none")
	wantKind(t, err, savorystep.KindNotFound)
}

// TestClientSilentConnections guards against a client that keeps using
// unresponsive connections while new ones work.
func TestClientSilentConnections(t *testing.T) {
	p, client := startStandin(t, standin.PlatformFaults{})
	results := make(chan error, 8)
	get := func() {
		_, err := client.Get(t.Context(), "a")
		results <- err
	}
	p.SetFaults(standin.PlatformFaults{DelayMillis: 50})
	for range 8 { // Opens several connections.
		go get()
	}
	for range 8 {
		if err := <-results; err != nil {
			t.Fatal(err)
		}
	}
	p.SetFaults(standin.PlatformFaults{Silent: true})
	for range 8 {
		go get()
	}
	for range 8 {
		if err := <-results; err != nil {
			t.Errorf("read after the connections became unresponsive: %v", err)
		}
	}
	// A commit is sent once, so it fails if its connection is unresponsive.
	if _, err := client.Commit(t.Context(), savorystep.Txn{Writes: []savorystep.Write{{Key: "a"}}}); err != nil {
		t.Errorf("commit after the reads on new connections: %v", err)
	}
}

// TestClientRegisterAgain guards against an instance that is listed as ended
// because the platform restarted, and against one that does not learn that it
// is.
func TestClientRegisterAgain(t *testing.T) {
	open := make(chan context.CancelFunc, 4)
	status := make(chan int, 4)
	client := newHandlerClient(t, func(w http.ResponseWriter, r *http.Request) {
		code := <-status
		w.WriteHeader(code)
		_ = http.NewResponseController(w).Flush()
		if code != http.StatusOK {
			return
		}
		ctx, cancel := context.WithCancel(r.Context())
		open <- cancel
		<-ctx.Done()
	})
	status <- http.StatusOK
	if err := client.Register(t.Context(), savorystep.Instance{ID: "i"}); err != nil {
		t.Fatal(err)
	}
	status <- http.StatusServiceUnavailable
	status <- http.StatusOK
	(<-open)()
	end := <-open // It registered again after a refusal.
	select {
	case err := <-client.RegistrationLost():
		t.Errorf("registration lost after a new registration: %v", err)
	default:
	}
	status <- http.StatusConflict
	end()
	if err := <-client.RegistrationLost(); err == nil {
		t.Error("RegistrationLost yielded nil after a conflict, want an error")
	}
}

// FuzzClient guards against responses that crash the client or make it return
// rows that do not fit the call.
func FuzzClient(f *testing.F) {
	for _, seed := range []string{
		``, `null`, `{}`, `[]`, `{"version":7}`, `{"conflicts":[{"key":"a/b","version":1}]}`,
		`{"key":"a/b","version":1,"value":"eA=="}`, `[{"key":"a/c","version":1}]`, `[{"id":"i","state":"live"}]`,
	} {
		f.Add([]byte(seed), 200)
	}
	f.Add([]byte("down"), 503)
	f.Fuzz(func(t *testing.T, body []byte, status int) {
		if status < 200 || status > 999 {
			t.Skip()
		}
		client := store.NewClient(store.ClientConfig{Address: "platform", Transport: fixedTransport{body: body, status: status}})
		if row, err := client.Get(t.Context(), "a/b"); err == nil && (row.Key != "a/b" || row.Version == 0 && row.Value != nil && len(row.Value) > 0) {
			t.Errorf("Get of row a/b = %+v", row)
		} else if err != nil {
			wantKind(t, err, savorystep.KindPlatformDown)
		}
		rows, err := client.Scan(t.Context(), "a/", "a/b", 3)
		if err != nil {
			wantKind(t, err, savorystep.KindPlatformDown)
		}
		for i, row := range rows {
			if row.Version == 0 || row.Key <= "a/b" || i > 0 && row.Key <= rows[i-1].Key || i >= 3 {
				t.Errorf("Scan after a/b with limit 3 = %+v", rows)
			}
		}
		commit, err := client.Commit(t.Context(), savorystep.Txn{Conditions: []savorystep.Condition{{Key: "a/b"}}})
		if err == nil && (commit.Version == 0) != (len(commit.Conflicts) == 1) {
			t.Errorf("Commit = %+v, want either a version or one conflict", commit)
		}
		instances, err := client.Instances(t.Context())
		if err != nil {
			wantKind(t, err, savorystep.KindPlatformDown)
		}
		for _, instance := range instances {
			if instance.ID == "" {
				t.Errorf("Instances = %+v, contains an empty ID", instances)
			}
		}
	})
}

// fixedTransport returns the same response for each call.
type fixedTransport struct {
	body   []byte
	status int
}

func (f fixedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	return &http.Response{
		StatusCode: f.status, Body: io.NopCloser(strings.NewReader(string(f.body))), Request: request,
		Header: http.Header{},
	}, nil
}
