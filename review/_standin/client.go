package main

import (
	"bytes"
	"context"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// A sent is a request that a client sent and what it got.
type sent struct {
	id, gateway string
	once        bool
	status      int
	signature   string
	body        []byte
	err         error
	at, ended   time.Time
}

// A sentLog holds all requests of the clients.
type sentLog struct {
	mu   sync.Mutex
	list []*sent
}

func (l *sentLog) add(s *sent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, s)
}

func (l *sentLog) all() []*sent {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*sent(nil), l.list...)
}

// A client keeps its connections open, as the clients of the platform do.
type client struct {
	http http.Client
	log  *sentLog
}

func newClient(log *sentLog) *client {
	dialer := net.Dialer{Timeout: time.Second}
	return &client{log: log, http: http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableCompression: true, MaxIdleConnsPerHost: 4, IdleConnTimeout: 10 * time.Second}}}
}

// A request is what a client sends.
type request struct {
	id, method, path, affinity string
	body                       []byte
	// stream is a body that is sent in chunks.
	stream   io.Reader
	once     bool
	deadline time.Duration
}

// send sends a request to a gateway and records what came back.
func (c *client) send(gateway string, q request) *sent {
	s := &sent{id: q.id, gateway: gateway, once: q.once, at: time.Now()}
	defer func() {
		s.ended = time.Now()
		c.log.add(s)
	}()
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline)
	defer cancel()
	var body io.Reader = http.NoBody
	if q.body != nil {
		body = bytes.NewReader(q.body)
	}
	if q.stream != nil {
		body = q.stream
	}
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+gateway+q.path, body)
	if err != nil {
		panic(err)
	}
	// The transport must not send a request again by itself.
	r.GetBody = nil
	r.Host = "shop.example"
	r.Header.Set(names.AttemptID, q.id)
	r.Header.Set(names.AffinityKey, q.affinity)
	r.Header.Set(names.Deadline, strconv.FormatInt(q.deadline.Milliseconds(), 10))
	response, err := c.http.Do(r)
	if err != nil {
		s.err = err
		return s
	}
	defer func() { _ = response.Body.Close() }()
	s.signature = response.Header.Get(names.Signature)
	s.body, s.err = io.ReadAll(response.Body)
	if s.err == nil {
		s.status = response.StatusCode
	}
	return s
}

// verdicts returns the rules about answers that were broken, with the request.
func verdicts(list []*sent, runs *runLog) []string {
	var found []string
	for _, s := range list {
		r := runs.get(s.id)
		if s.once && r.count > 1 {
			found = append(found, fmt.Sprintf("TWICE: attempt %s ran %d times", s.id, r.count))
		}
		switch {
		case s.status == 0:
		case s.status >= 200 && s.status < 300:
			if s.signature != r.signature || crc32.ChecksumIEEE(s.body) != r.bodySum || r.status != s.status {
				found = append(found, fmt.Sprintf("MIXED: attempt %s got status %d, signature %q and a body of %d bytes with sum %x; the endpoint gave status %d, signature %q and a body with sum %x", s.id, s.status, s.signature, len(s.body), crc32.ChecksumIEEE(s.body), r.status, r.signature, r.bodySum))
			}
		case s.signature != "" && s.status != r.status:
			found = append(found, fmt.Sprintf("MIXED: attempt %s got status %d with signature %q; the endpoint gave status %d, signature %q", s.id, s.status, s.signature, r.status, r.signature))
		}
		switch s.status {
		case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if s.once && r.count > 0 {
				found = append(found, fmt.Sprintf("REFUSED: attempt %s, sent %s, got status %d from gateway %s and has run, its endpoint gave status %d", s.id, s.at.Format("15:04:05.000"), s.status, s.gateway, r.status))
			}
		}
	}
	return found
}

// statuses returns the number of requests by status.
func statuses(list []*sent) map[int]int {
	counts := make(map[int]int)
	for _, s := range list {
		counts[s.status]++
	}
	return counts
}
