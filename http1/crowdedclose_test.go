package http1

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"runtime"
	"sync"
	"testing"
	"time"
)

// A crowd is many callers of a testServer, each with a connection of its own.
type crowd struct {
	server *testServer
	// handled has the targets of the requests that the handler got.
	handled sync.Map
	clients []*testClient
	// idleSince is when each caller had its last response.
	idleSince []time.Time
}

// newCrowd starts a server and connects callers to it.
func newCrowd(t *testing.T, timeout time.Duration, size int) *crowd {
	t.Helper()
	c := &crowd{server: startTestServer(t, timeout, nil), clients: make([]*testClient, size), idleSince: make([]time.Time, size)}
	c.server.config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.handled.Store(r.URL.Path, true)
		w.WriteHeader(http.StatusOK)
	})
	for i := range c.clients {
		opened, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", c.server.address)
		if err != nil {
			t.Fatal(err)
		}
		c.clients[i] = &testClient{Conn: opened, reader: bufio.NewReaderSize(opened, 256)}
	}
	return c
}

// request sends a request of a caller and reads the response.
func (c *crowd) request(caller, round int) error {
	client := c.clients[caller]
	if _, err := fmt.Fprintf(client, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", target(caller, round)); err != nil {
		return err
	}
	response, err := http.ReadResponse(client.reader, nil)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	c.idleSince[caller] = time.Now()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d, want %d", response.StatusCode, http.StatusOK)
	}
	return nil
}

// target returns the target of a caller's request.
func target(caller, round int) string {
	return fmt.Sprintf("/%d-%d", caller, round)
}

// requestAll calls request for all callers at once, after before returns.
func (c *crowd) requestAll(round int, before func(caller int)) []error {
	errs := make([]error, len(c.clients))
	var group sync.WaitGroup
	for i := range c.clients {
		group.Go(func() {
			before(i)
			errs[i] = c.request(i, round)
		})
	}
	group.Wait()
	return errs
}

// usage is what the process uses once garbage is collected.
type usage struct {
	descriptors, goroutines int
	heapBytes               uint64
}

func currentUsage(t *testing.T) usage {
	t.Helper()
	// A sync.Pool keeps its content for two collections.
	for range 3 {
		runtime.GC()
	}
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return usage{descriptors: len(entries), goroutines: runtime.NumGoroutine(), heapBytes: stats.HeapAlloc}
}

// TestCrowdAtClose guards against LOST when thousands of idle connections come of age, or are
// ended by a stop, at the moment at which their callers send: a request may cross the close
// unread, but one that is handled must be answered. All connections must end, and what they
// used must be freed.
func TestCrowdAtClose(t *testing.T) {
	// A connection has two descriptors in this process.
	size := 2000
	if testing.Short() {
		size = 200
	}
	const (
		age             = 300 * time.Millisecond
		maxBytesPerConn = 32 << 10
	)
	for _, test := range []struct {
		name    string
		timeout time.Duration
		// end makes the connections end while the callers send.
		end func(*crowd) error
		// before delays a caller that became idle at a time.
		before func(caller int, idleSince time.Time)
	}{
		{
			name: "come of age", timeout: age,
			end: func(*crowd) error { return nil },
			before: func(caller int, idleSince time.Time) {
				time.Sleep(time.Until(idleSince.Add(age + time.Duration(caller%40-30)*200*time.Microsecond)))
			},
		},
		{
			name: "limit lowered", timeout: time.Hour,
			end: func(c *crowd) error {
				c.server.setTimeout(time.Millisecond)
				return nil
			},
			before: func(caller int, _ time.Time) { time.Sleep(time.Duration(caller%40) * 50 * time.Microsecond) },
		},
		{
			name: "stop", timeout: time.Hour,
			end: func(c *crowd) error {
				ctx, cancel := context.WithTimeout(context.Background(), hangLimit)
				defer cancel()
				return c.server.Shutdown(ctx)
			},
			before: func(caller int, _ time.Time) { time.Sleep(time.Duration(caller%40) * 50 * time.Microsecond) },
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			before := currentUsage(t)
			c := newCrowd(t, test.timeout, size)
			for i, err := range c.requestAll(0, func(int) {}) {
				if err != nil {
					t.Fatalf("first request of caller %d: %v", i, err)
				}
			}
			if test.timeout > age {
				c.server.waitUntilIdle(size)
				open := currentUsage(t)
				perConn := int(open.heapBytes-before.heapBytes) / size //nolint:gosec // A few megabytes.
				t.Logf("%d bytes for each of %d idle connections, both ends", perConn, size)
				if perConn > maxBytesPerConn {
					t.Errorf("%d bytes for each of %d idle connections, want at most %d", perConn, size, maxBytesPerConn)
				}
			}
			ended := make(chan error, 1)
			go func() { ended <- test.end(c) }()
			errs := c.requestAll(1, func(caller int) { test.before(caller, c.idleSince[caller]) })
			if err := <-ended; err != nil {
				t.Errorf("the stop ended with %v, want nil", err)
			}
			for i, client := range c.clients {
				if b, err := client.reader.ReadByte(); err == nil {
					t.Fatalf("caller %d read %q, want the end of the connection", i, b)
				}
				_ = client.Close()
			}
			for c.server.OpenConns() > 0 {
				time.Sleep(time.Millisecond)
			}
			crossed := 0
			for i, err := range errs {
				if err == nil {
					continue
				}
				crossed++
				if _, isHandled := c.handled.Load(target(i, 1)); isHandled {
					t.Errorf("the request of caller %d was handled and got no answer: %v", i, err)
				}
			}
			t.Logf("%d of %d requests crossed the close unread", crossed, size)
			c.clients = nil
			if err := c.server.Close(); err != nil {
				t.Errorf("Close returned %v, want nil", err)
			}
			// Goroutines of the server end soon after their connections.
			for after := currentUsage(t); after.descriptors > before.descriptors+8 || after.goroutines > before.goroutines+8; after = currentUsage(t) {
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
}
