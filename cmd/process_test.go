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

// processServices are the services of the process tests. Requests to renewals
// have keys.
var processServices = []savorystep.Service{"status", "renewals", "claims", "stock"}

// applyAll applies a record for each service, two of them in schema 1.
func applyAll(p *processes) {
	p.t.Helper()
	for i, service := range processServices {
		p.apply(savorystep.Record{
			Schema:  1 + i%2,
			Service: service,
			Aliases: []savorystep.Name{savorystep.Name(service) + "x"},
			Shares: []savorystep.Share{
				{Region: "fortaleza", Weight: 1}, {Region: "natal", Weight: 1}, {Region: "recife", Weight: 1},
			},
		})
	}
}

// A processRequest is a request with a body and the check of its answer.
type processRequest struct {
	entry.Request
	hash string
}

// newProcessRequest returns the request with the given number. Its body and
// service depend on the number only.
func newProcessRequest(n int) processRequest {
	random := rand.New(rand.NewPCG(uint64(n), 7))
	body := make([]byte, random.IntN(20_000)+1)
	for i := range body {
		body[i] = byte(random.Uint32())
	}
	sum := sha256.Sum256(body)
	service := processServices[n%len(processServices)]
	request := processRequest{hash: hex.EncodeToString(sum[:])}
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

// check reports what is wrong with an answer, or nothing.
func (r processRequest) check(response *entry.Response) error {
	var answer standin.UpstreamResponse
	if err := json.Unmarshal(response.Body, &answer); err != nil {
		return fmt.Errorf("status %d: %w in %q", response.Status, err, response.Body)
	}
	if answer.Request != r.ID || answer.SHA256 != r.hash {
		return fmt.Errorf("the answer is that of %s with hash %s", answer.Request, answer.SHA256)
	}
	return nil
}

// outcomes counts what became of requests.
type outcomes struct {
	mu       sync.Mutex
	answered int
	refused  map[savorystep.Kind]int
	// last is the last refusal, for the log of a failed test.
	last  error
	wrong []error
}

// add counts one request.
func (o *outcomes) add(request processRequest, response *entry.Response, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil {
		o.refused[savorystep.KindOf(err)]++
		o.last = err
		return
	}
	o.answered++
	if err := request.check(response); err != nil {
		o.wrong = append(o.wrong, err)
	}
}

// sendMany sends count requests at a pace, from all regions.
func sendMany(p *processes, count int, pace time.Duration) *outcomes {
	p.t.Helper()
	clients := []*entry.Client{p.client("recife"), p.client("natal"), p.client("fortaleza")}
	counted := &outcomes{refused: make(map[savorystep.Kind]int)}
	var running sync.WaitGroup
	for n := range count {
		request := newProcessRequest(n)
		running.Go(func() {
			response, err := clients[n%len(clients)].Send(p.t.Context(), request.Request)
			counted.add(request, response, err)
		})
		time.Sleep(pace)
	}
	running.Wait()
	return counted
}

// TestProcessesPlatformFaults guards against answers that are lost, mixed up or
// refused without cause while each fault of the platform is switched on. A
// fault of the platform explains only a refusal of keyed requests.
func TestProcessesPlatformFaults(t *testing.T) {
	p := startProcesses(t, 3, processServices, 2)
	applyAll(p)
	ctx, cancel := context.WithCancel(t.Context())
	var switching sync.WaitGroup
	switching.Go(func() {
		faults := []string{
			`{"down":true}`, `{"slow":300}`, `{"lose":5}`, `{"late":200}`, `{"lag":2000}`, `{"frozen":true}`,
			`{"silent":true}`, `{"writes":20,"reads":50}`,
		}
		for _, fault := range faults {
			p.fault(p.address, fault)
			if !savorystep.Sleep(ctx, 700*time.Millisecond) {
				break
			}
			p.fault(p.address, `{}`)
			if !savorystep.Sleep(ctx, 100*time.Millisecond) {
				break
			}
		}
	})
	counted := sendMany(p, 500, 13*time.Millisecond)
	cancel()
	switching.Wait()
	t.Logf("%d answered, refused: %v, last: %v", counted.answered, counted.refused, counted.last)
	for _, err := range counted.wrong {
		t.Error(err)
	}
	for kind, count := range counted.refused {
		switch kind {
		case savorystep.KindPlatformDown, savorystep.KindInProgress, savorystep.KindOutcomeUnknown:
		default:
			t.Errorf("%d requests were refused with %s, which no fault of the platform explains", count, kind)
		}
	}
	if counted.answered < 375 {
		t.Errorf("%d requests were answered; the 375 without a key must be", counted.answered)
	}
}

// TestProcessesKillEntry guards against requests that are lost with an entry:
// callers move to another one. Keyed requests that the entry had sent are
// answered with the stored answer or with an unknown outcome.
func TestProcessesKillEntry(t *testing.T) {
	p := startProcesses(t, 3, processServices, 2)
	applyAll(p)
	go func() {
		if savorystep.Sleep(t.Context(), 600*time.Millisecond) {
			p.entries[1].signal(syscall.SIGKILL)
		}
	}()
	counted := sendMany(p, 300, 6*time.Millisecond)
	t.Logf("%d answered, refused: %v, last: %v", counted.answered, counted.refused, counted.last)
	for _, err := range counted.wrong {
		t.Error(err)
	}
	for kind, count := range counted.refused {
		if kind != savorystep.KindOutcomeUnknown && kind != savorystep.KindInProgress {
			t.Errorf("%d requests were refused with %s", count, kind)
		}
	}
	if counted.answered < 225 {
		t.Errorf("%d requests were answered; the 225 without a key must be", counted.answered)
	}
}

// TestProcessesStopDuringUpload guards against a planned stop that interrupts
// an upload.
func TestProcessesStopDuringUpload(t *testing.T) {
	p := startProcesses(t, 3, []savorystep.Service{"claims"}, 3)
	p.apply(savorystep.Record{Schema: 1, Service: "claims", Shares: []savorystep.Share{{Region: "natal", Weight: 1}, {Region: "recife", Weight: 1}}})
	reader, writer := io.Pipe()
	const half = 5 << 20
	hash := sha256.New()
	go func() {
		part := make([]byte, half)
		hash.Write(part)
		_, _ = writer.Write(part)
		p.entries[0].signal(syscall.SIGTERM)
		p.await("the entry to leave", func() bool { return bytes.Contains([]byte(p.entries[0].out.String()), []byte("Leaving")) })
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
	request.ContentLength = 2 * half
	request.Header.Set(savorystep.HeaderRequest, "upload")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var answer standin.UpstreamResponse
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		t.Fatal(err)
	}
	if answer.Length != 2*half || answer.SHA256 != hex.EncodeToString(hash.Sum(nil)) {
		t.Errorf("the upstream received %d bytes with hash %s", answer.Length, answer.SHA256)
	}
	if err := <-p.entries[0].ended; err != nil {
		t.Errorf("the entry ended with %v", err)
	}
}
