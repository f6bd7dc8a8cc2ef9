package cmd

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"savorystep"
	"savorystep/entry"
	"savorystep/standin"
)

// processServices are the services of the process tests. Requests to renewals have
// idempotency keys.
var processServices = []savorystep.Service{"status", "renewals", "claims", "stock"}

// applyProcessRecords applies a record for each service, two in schema 1 and two in
// schema 2.
func applyProcessRecords(p *processSystem) {
	p.t.Helper()
	for i, service := range processServices {
		p.applyAndWait(savorystep.Record{
			Schema:  1 + i%2,
			Service: service,
			Aliases: []savorystep.Name{savorystep.Name(service) + "x"},
			Shares: []savorystep.Share{
				{Region: "fortaleza", Weight: 1}, {Region: "natal", Weight: 1}, {Region: "recife", Weight: 1},
			},
		})
	}
}

// A processRequest is a request with the hash of its body, which the echoing
// upstream returns.
type processRequest struct {
	entry.Request
	bodySHA256 string
}

// newProcessRequest returns the request with the given number. Equal numbers give
// equal requests.
func newProcessRequest(n int) processRequest {
	random := rand.New(rand.NewPCG(uint64(n), 7))
	body := make([]byte, random.IntN(20_000)+1)
	for i := range body {
		body[i] = byte(random.Uint32())
	}
	sum := sha256.Sum256(body)
	service := processServices[n%len(processServices)]
	request := processRequest{bodySHA256: hex.EncodeToString(sum[:])}
	request.Request = entry.Request{
		ID:         savorystep.RequestID(fmt.Sprintf("request-%d", n)),
		Name:       savorystep.Name(service),
		Method:     http.MethodPut,
		Path:       "/echo",
		Timeout:    20 * time.Second,
		Body:       func() io.Reader { return bytes.NewReader(body) },
		BodyLength: int64(len(body)),
	}
	if n%3 == 0 {
		request.Name += "x"
	}
	if service == "renewals" {
		request.Method = http.MethodPost
		request.IdempotencyKey = savorystep.IdempotencyKey("key-" + request.ID)
	}
	return request
}

// checkResponse returns an error if a response is not the one to this request.
func (r processRequest) checkResponse(response *entry.Response) error {
	var upstreamResponse standin.UpstreamResponse
	if err := json.Unmarshal(response.Body, &upstreamResponse); err != nil {
		return fmt.Errorf("decode response with status %d: %w in %q", response.Status, err, response.Body)
	}
	if upstreamResponse.Request != r.ID || upstreamResponse.SHA256 != r.bodySHA256 {
		return fmt.Errorf("got the response to request %s with body hash %s, want %s and %s", upstreamResponse.Request, upstreamResponse.SHA256, r.ID, r.bodySHA256)
	}
	return nil
}

// A requestOutcomes counts the outcomes of requests.
type requestOutcomes struct {
	mu           sync.Mutex
	answered     int
	errorsByKind map[savorystep.Kind]int
	// lastErr is the last error, for the log of a failed test.
	lastErr    error
	mismatches []error
}

// add counts the outcome of one request and checks its response.
func (o *requestOutcomes) add(request processRequest, response *entry.Response, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil {
		o.errorsByKind[savorystep.KindOf(err)]++
		o.lastErr = err
		return
	}
	o.answered++
	if err := request.checkResponse(response); err != nil {
		o.mismatches = append(o.mismatches, err)
	}
}

// sendPaced starts a request per interval, in turn from each region, and waits for
// all of them.
func sendPaced(p *processSystem, count int, interval time.Duration) *requestOutcomes {
	p.t.Helper()
	clients := []*entry.Client{p.entryClient("recife"), p.entryClient("natal"), p.entryClient("fortaleza")}
	outcomes := &requestOutcomes{errorsByKind: make(map[savorystep.Kind]int)}
	var senders sync.WaitGroup
	for n := range count {
		request := newProcessRequest(n)
		senders.Go(func() {
			response, err := clients[n%len(clients)].Send(p.t.Context(), request.Request)
			outcomes.add(request, response, err)
		})
		time.Sleep(interval)
	}
	senders.Wait()
	return outcomes
}

// TestProcessesPlatformFaults guards against responses that are lost or belong to
// another request, and against unjustified errors, while the platform has one fault
// after the other. Only requests with an idempotency key need the platform, so
// only these may fail.
func TestProcessesPlatformFaults(t *testing.T) {
	p := startProcessSystem(t, 3, processServices, 2)
	applyProcessRecords(p)
	ctx, cancel := context.WithCancel(t.Context())
	var faultSwitcher sync.WaitGroup
	faultSwitcher.Go(func() {
		faults := []string{
			`{"down":true}`, `{"slow":300}`, `{"lose":5}`, `{"late":200}`, `{"lag":2000}`, `{"frozen":true}`,
			`{"silent":true}`, `{"writes":20,"reads":50}`,
		}
		for _, fault := range faults {
			p.setFaults(p.platformAddress, fault)
			if !savorystep.Sleep(ctx, 700*time.Millisecond) {
				break
			}
			p.setFaults(p.platformAddress, `{}`)
			if !savorystep.Sleep(ctx, 100*time.Millisecond) {
				break
			}
		}
	})
	outcomes := sendPaced(p, 500, 13*time.Millisecond)
	cancel()
	faultSwitcher.Wait()
	t.Logf("%d requests answered, errors: %v, last error: %v", outcomes.answered, outcomes.errorsByKind, outcomes.lastErr)
	for _, err := range outcomes.mismatches {
		t.Error(err)
	}
	for kind, count := range outcomes.errorsByKind {
		switch kind {
		case savorystep.KindPlatformDown, savorystep.KindInProgress, savorystep.KindOutcomeUnknown:
		default:
			t.Errorf("%d requests failed with %s, want only failures that faults of the platform cause: PlatformDown, InProgress or OutcomeUnknown", count, kind)
		}
	}
	if outcomes.answered < 375 {
		t.Errorf("%d requests were answered, want at least the 375 without an idempotency key", outcomes.answered)
	}
}

// TestProcessesKillEntry guards against requests that are lost when an entry is
// killed: callers must retry them through another entry. A keyed request that the
// killed entry had already sent ends with the stored response or an unknown outcome.
func TestProcessesKillEntry(t *testing.T) {
	p := startProcessSystem(t, 3, processServices, 2)
	applyProcessRecords(p)
	go func() {
		if savorystep.Sleep(t.Context(), 600*time.Millisecond) {
			p.entries[1].signal(syscall.SIGKILL)
		}
	}()
	outcomes := sendPaced(p, 300, 6*time.Millisecond)
	t.Logf("%d requests answered, errors: %v, last error: %v", outcomes.answered, outcomes.errorsByKind, outcomes.lastErr)
	for _, err := range outcomes.mismatches {
		t.Error(err)
	}
	for kind, count := range outcomes.errorsByKind {
		if kind != savorystep.KindOutcomeUnknown && kind != savorystep.KindInProgress {
			t.Errorf("%d requests failed with %s, want only OutcomeUnknown or InProgress", count, kind)
		}
	}
	if outcomes.answered < 225 {
		t.Errorf("%d requests were answered, want at least the 225 without an idempotency key", outcomes.answered)
	}
}

// TestProcessesStopDuringUpload guards against a graceful shutdown of an entry that
// interrupts an upload in flight.
func TestProcessesStopDuringUpload(t *testing.T) {
	p := startProcessSystem(t, 3, []savorystep.Service{"claims"}, 3)
	p.applyAndWait(savorystep.Record{Schema: 1, Service: "claims", Shares: []savorystep.Share{{Region: "natal", Weight: 1}, {Region: "recife", Weight: 1}}})
	reader, writer := io.Pipe()
	const halfBytes = 5 << 20
	hash := sha256.New()
	go func() {
		part := make([]byte, halfBytes)
		hash.Write(part)
		_, _ = writer.Write(part)
		p.entries[0].signal(syscall.SIGTERM)
		p.await("the entry logs that its drain started", func() bool { return bytes.Contains([]byte(p.entries[0].output.String()), []byte("drain started")) })
		for i := range part {
			part[i] = byte(i)
		}
		hash.Write(part)
		_, _ = writer.Write(part)
		_ = writer.Close()
	}()
	url := "http://" + string(p.settings[0].CallerAddress) + "/s/claims/echo"
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPut, url, reader)
	if err != nil {
		t.Fatal(err)
	}
	request.ContentLength = 2 * halfBytes
	request.Header.Set(savorystep.HeaderRequest, "upload")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var upstreamResponse standin.UpstreamResponse
	if err := json.NewDecoder(response.Body).Decode(&upstreamResponse); err != nil {
		t.Fatal(err)
	}
	if upstreamResponse.Length != 2*halfBytes || upstreamResponse.SHA256 != hex.EncodeToString(hash.Sum(nil)) {
		t.Errorf("the upstream received %d bytes with hash %s, want %d bytes with hash %x", upstreamResponse.Length, upstreamResponse.SHA256, 2*halfBytes, hash.Sum(nil))
	}
	if err := <-p.entries[0].exited; err != nil {
		t.Errorf("the entry exited with %v, want no error", err)
	}
}
