package standin_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"savorystep"
	"savorystep/standin"
)

// serve starts an upstream without service time. It returns the upstream, its URL
// and the channel with the result of Serve.
func serve(t *testing.T, config standin.UpstreamConfig) (*standin.Upstream, string, <-chan error) {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	config.MeanServiceTime = -1
	u := standin.NewUpstream(config)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	return u, "http://" + listener.Addr().String(), u.Serve(ctx, listener)
}

// callUpstream sends a request with the ID r1 and returns the status and the body
// of the response.
func callUpstream(t *testing.T, client *http.Client, method, url, body string) (int, string, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set(savorystep.HeaderRequest, "r1")
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	data, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	return response.StatusCode, string(data), err
}

// TestUpstreamResponse guards against responses that don't show which request
// they belong to, and against wrong sizes and counters.
func TestUpstreamResponse(t *testing.T) {
	u, url, _ := serve(t, standin.UpstreamConfig{ID: "a", Service: "status"})
	client := &http.Client{Transport: &http.Transport{}}
	status, body, err := callUpstream(t, client, http.MethodPost, url+"/size/70000", "hello")
	if err != nil || status != http.StatusOK || len(body) != 70_000 {
		t.Fatalf("status %d, %d bytes, error %v; want status 200 and 70000 bytes", status, len(body), err)
	}
	var response standin.UpstreamResponse
	line, rest, _ := strings.Cut(body, "\n")
	if err := json.Unmarshal([]byte(line), &response); err != nil {
		t.Fatal(err)
	}
	if response.Request != "r1" || response.Endpoint != "a" || response.Length != 5 || !strings.HasPrefix(rest, "r1.r1.") {
		t.Errorf("response %+v, want request r1, endpoint a and length 5, followed by a body that repeats r1", response)
	}
	if stats := u.Stats(); stats.RunsByRequest["r1"] != 1 || stats.Total != 1 {
		t.Errorf("stats %+v, want one run, of request r1", stats)
	}
}

// TestUpstreamFaults guards against faults that have no effect. The value
// failed of want means that the request must fail; any other value must be part of
// the body.
func TestUpstreamFaults(t *testing.T) {
	cases := []struct {
		name   string
		faults string
		path   string
		want   string
	}{
		{name: "drain", faults: `{"drain":true}`, path: "/load", want: `"draining":true`},
		{name: "health lie", faults: `{"healthLie":true}`, path: "/load", want: `"healthy":false`},
		{name: "page drain", faults: `{"pageDrain":true}`, path: "/load", want: `"draining":true`},
		{name: "page lie", faults: `{"pageLie":true,"pageBusy":2}`, path: "/load", want: `"busy":2`},
		{name: "page stop", faults: `{"pageStop":true}`, path: "/load", want: "failed"},
		{name: "shed", faults: `{"shed":true}`, path: "/echo", want: "shed"},
		{name: "silent", faults: `{"silent":true}`, path: "/echo", want: "failed"},
		{name: "truncate", faults: `{"truncate":true}`, path: "/size/1000", want: "failed"},
		{name: "crash on path", faults: `{"crashPath":"/echo"}`, path: "/echo", want: "failed"},
		{name: "crash on request", faults: `{"crashRequest":"r1"}`, path: "/echo", want: "failed"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, url, done := serve(t, standin.UpstreamConfig{})
			client := &http.Client{Transport: &http.Transport{}}
			if c.name == "silent" {
				if _, _, err := callUpstream(t, client, http.MethodGet, url+"/load", ""); err != nil {
					t.Fatal(err)
				}
			}
			// The faults are set over another connection, because Silent applies to
			// open ones.
			if status, _, err := callUpstream(t, &http.Client{Transport: &http.Transport{}}, http.MethodPost, url+"/faults", c.faults); err != nil {
				t.Fatal(status, err)
			}
			if c.want == "failed" {
				client.Timeout = 300 * time.Millisecond
			}
			_, body, err := callUpstream(t, client, http.MethodGet, url+c.path, "")
			if c.want == "failed" && err == nil || c.want != "failed" && !strings.Contains(body, c.want) {
				t.Errorf("body %q, error %v, want %s", body, err, c.want)
			}
			if strings.HasPrefix(c.name, "crash") {
				if err := <-done; !errors.Is(err, standin.ErrCrashed) {
					t.Errorf("Serve ended with %v, want ErrCrashed", err)
				}
			}
			if c.name == "silent" {
				fresh := &http.Client{Transport: &http.Transport{}}
				if status, _, err := callUpstream(t, fresh, http.MethodGet, url+c.path, ""); err != nil || status != http.StatusOK {
					t.Errorf("status %d on a new connection, error %v", status, err)
				}
			}
		})
	}
}

// TestUpstreamConnections guards against an upstream that accepts more
// connections than its limit.
func TestUpstreamConnections(t *testing.T) {
	_, url, _ := serve(t, standin.UpstreamConfig{MaxConnections: 1})
	first := &http.Client{Transport: &http.Transport{}}
	if _, _, err := callUpstream(t, first, http.MethodGet, url+"/load", ""); err != nil {
		t.Fatal(err)
	}
	second := &http.Client{Transport: &http.Transport{}}
	if _, _, err := callUpstream(t, second, http.MethodGet, url+"/load", ""); err == nil {
		t.Error("a second connection was accepted, the limit is 1")
	}
}
