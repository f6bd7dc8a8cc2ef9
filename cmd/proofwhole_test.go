package cmd

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"savorystep"
	"savorystep/standin"
)

const (
	// proofTransfer is the size of a large upload and answer in bytes.
	proofTransfer = 100 << 20
	// proofMemory bounds the resident memory of an entry in bytes. It is less
	// than one transfer, so an entry that keeps a body in memory passes it.
	proofMemory = 80 << 20
)

// peakMemory returns the largest resident memory of a process so far.
func peakMemory(t *testing.T, p *process) int64 {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewScanner(bytes.NewReader(status))
	for lines.Scan() {
		if rest, ok := strings.CutPrefix(lines.Text(), "VmHWM:"); ok {
			kib, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			if err != nil {
				t.Fatal(err)
			}
			return kib << 10
		}
	}
	t.Fatal("no VmHWM")
	return 0
}

// TestProofTruncatedAnswers guards against a part of an answer that is taken
// for the whole one.
func TestProofTruncatedAnswers(t *testing.T) {
	t.Parallel()
	p := startProof(t, proofConfig{Entries: 1, Endpoints: 3, Services: []savorystep.Service{"status"}})
	p.apply(p.record("status", proofRegions...))
	for _, u := range p.endpoints {
		u.SetFaults(standin.UpstreamFaults{Truncate: true})
	}
	for _, path := range []string{"/x", "/size/50000", "/size/5000000"} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			answer := sendTo(t.Context(), p.caller(0), proofRequest{method: method, path: path, service: "status", from: "recife", id: "cut", timeout: 10 * time.Second})
			if answer.answered() {
				t.Errorf("%s %s: half an answer of %d bytes was taken for the whole one", method, path, len(answer.body))
			}
			if answer.ran == savorystep.NotExecuted {
				t.Errorf("%s %s: the caller was told that the request did not run", method, path)
			}
		}
	}
}

// wholeError returns what is wrong with the answer to a request for a size.
func wholeError(answer proofAnswer, id savorystep.RequestID, size int) error {
	if !answer.answered() {
		return fmt.Errorf("request %s: %s %w", id, answer.kind, answer.err)
	}
	line, rest, _ := strings.Cut(answer.body, "\n")
	var first standin.UpstreamResponse
	if err := json.Unmarshal([]byte(line), &first); err != nil {
		return fmt.Errorf("request %s: %w", id, err)
	}
	if first.Request != id || len(answer.body) != size || !strings.HasPrefix(rest, string(id)+".") {
		return fmt.Errorf("request %s got %d bytes of the answer to %s", id, len(answer.body), first.Request)
	}
	return nil
}

// TestProofAbandonedRequests guards against an answer that reaches another
// caller: callers leave in the middle of their answers while others use the
// same entry.
func TestProofAbandonedRequests(t *testing.T) {
	t.Parallel()
	p := startProof(t, proofConfig{Entries: 1, Endpoints: 3, Services: []savorystep.Service{"status"}})
	p.apply(p.record("status", proofRegions...))
	const size = 300_000
	var running sync.WaitGroup
	var mu sync.Mutex
	abandoned := 0
	for worker := range 8 {
		running.Go(func() {
			for n := range 60 {
				id := savorystep.RequestID(fmt.Sprintf("whole-%d-%d", worker, n))
				if worker%2 == 0 {
					ctx, cancel := context.WithCancel(t.Context())
					abandon(ctx, cancel, p.caller(0), id, n)
					mu.Lock()
					abandoned++
					mu.Unlock()
					continue
				}
				answer := sendTo(t.Context(), p.caller(0), proofRequest{
					method: http.MethodGet, path: fmt.Sprintf("/size/%d", size), service: "status", from: "recife", id: id, timeout: 30 * time.Second,
				})
				if err := wholeError(answer, id, size); err != nil {
					t.Error(err)
				}
			}
		})
	}
	running.Wait()
	t.Logf("%d requests abandoned", abandoned)
}

// abandon sends a request and leaves before the answer or in its middle.
func abandon(ctx context.Context, cancel context.CancelFunc, address savorystep.Address, id savorystep.RequestID, n int) {
	defer cancel()
	if n%3 == 0 {
		time.AfterFunc(time.Duration(n%7)*time.Millisecond, cancel)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(address)+"/s/status/size/3000000", http.NoBody)
	if err != nil {
		return
	}
	request.Header.Set(savorystep.HeaderRequest, string(id))
	response, err := proofTransport.RoundTrip(request)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.CopyN(io.Discard, response.Body, int64(n*10_000))
}

// TestProofLargeTransfers guards against an entry that keeps a body in memory,
// and against a large body that is not whole.
func TestProofLargeTransfers(t *testing.T) {
	t.Parallel()
	p := startProof(t, proofConfig{Entries: 1, Endpoints: 3, Services: []savorystep.Service{"claims"}})
	p.apply(p.record("claims", proofRegions...))
	base := "http://" + string(p.caller(0)) + "/s/claims"
	hash := sha256.New()
	body := io.TeeReader(io.LimitReader(&patternReader{}, proofTransfer), hash)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPut, base+"/photos", body)
	if err != nil {
		t.Fatal(err)
	}
	request.ContentLength = proofTransfer
	request.Header.Set(savorystep.HeaderDeadline, "120000")
	response, err := proofTransport.RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	var answer standin.UpstreamResponse
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if answer.Length != proofTransfer || answer.SHA256 != hex.EncodeToString(hash.Sum(nil)) {
		t.Errorf("the upstream received %d bytes with hash %s", answer.Length, answer.SHA256)
	}
	upload := peakMemory(t, p.entries[0])
	request, err = http.NewRequestWithContext(t.Context(), http.MethodGet, fmt.Sprintf("%s/size/%d", base, proofTransfer), http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set(savorystep.HeaderDeadline, "120000")
	response, err = proofTransport.RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	received, err := io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if err != nil || received != proofTransfer {
		t.Errorf("received %d bytes: %v", received, err)
	}
	download := peakMemory(t, p.entries[0])
	t.Logf("the entry's memory was at most %d MiB after the upload and %d MiB after the answer", upload>>20, download>>20)
	if download > proofMemory {
		t.Errorf("the entry's memory passed %d MiB", proofMemory>>20)
	}
}

// A patternReader yields bytes that depend on their position.
type patternReader struct{ at int }

// Read fills b.
func (r *patternReader) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = byte(r.at*7 + r.at>>8)
		r.at++
	}
	return len(b), nil
}
