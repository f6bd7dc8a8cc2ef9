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
	"sync/atomic"
	"testing"
	"time"

	"savorystep"
	"savorystep/standin"
)

const (
	// proofTransferBytes is the size of a large request or response body.
	proofTransferBytes = 100 << 20
	// proofMaxMemoryBytes bounds the resident memory of an entry. It is less than
	// one transfer, so that an entry that buffers a whole body exceeds it.
	proofMaxMemoryBytes = 80 << 20
)

// peakMemory returns the peak resident memory of a process in bytes.
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
	t.Fatal("the status of the process has no line VmHWM")
	return 0
}

// TestProofTruncatedAnswers guards against a truncated response that is passed on as
// a complete one.
func TestProofTruncatedAnswers(t *testing.T) {
	t.Parallel()
	p := startProofSystem(t, proofConfig{Entries: 1, EndpointsPerService: 3, Services: []savorystep.Service{"status"}})
	p.applyAndWait(p.equalSharesRecord("status", proofRegions...))
	for _, u := range p.endpoints {
		u.SetFaults(standin.UpstreamFaults{Truncate: true})
	}
	for _, path := range []string{"/x", "/size/50000", "/size/5000000"} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			response := sendTo(t.Context(), p.callerAddress(0), proofRequest{method: method, path: path, service: "status", origin: "recife", id: "cut", timeout: 10 * time.Second})
			if response.fromUpstream() {
				t.Errorf("%s %s: a truncated response of %d bytes was accepted as complete", method, path, len(response.body))
			}
			if response.execution == savorystep.NotExecuted {
				t.Errorf("%s %s: the truncated response was reported as not executed, but the request ran", method, path)
			}
		}
	}
}

// checkWholeResponse returns an error if a response is not the complete one to the
// request with the given ID and body size in bytes.
func checkWholeResponse(response proofResponse, id savorystep.RequestID, size int) error {
	if !response.fromUpstream() {
		return fmt.Errorf("request %s failed: kind %s: %w", id, response.kind, response.err)
	}
	line, rest, _ := strings.Cut(response.body, "\n")
	var first standin.UpstreamResponse
	if err := json.Unmarshal([]byte(line), &first); err != nil {
		return fmt.Errorf("decode first line of the response to request %s: %w", id, err)
	}
	if first.Request != id || len(response.body) != size || !strings.HasPrefix(rest, string(id)+".") {
		return fmt.Errorf("request %s got %d bytes of the response to %s, want %d bytes of its own", id, len(response.body), first.Request, size)
	}
	return nil
}

// TestProofAbandonedRequests guards against a response that reaches another caller.
// Some callers disconnect in the middle of their responses while others use the same
// entry. The others get their own whole responses. They may be refused before only if the
// test's process, in which the upstreams run, stood still for so long that the entry ejects
// them, and the refusal must be true and ask to send the request again.
func TestProofAbandonedRequests(t *testing.T) {
	t.Parallel()
	p := startProofSystem(t, proofConfig{Entries: 1, EndpointsPerService: 3, Services: []savorystep.Service{"status"}})
	p.applyAndWait(p.equalSharesRecord("status", proofRegions...))
	standstills := startStandstillRecorder(t)
	var running sync.WaitGroup
	var abandoned, refused atomic.Int64
	for worker := range 8 {
		running.Go(func() {
			for n := range 60 {
				id := savorystep.RequestID(fmt.Sprintf("whole-%d-%d", worker, n))
				if worker%2 == 0 {
					ctx, cancel := context.WithCancel(t.Context())
					abandon(ctx, cancel, p.callerAddress(0), id, n)
					abandoned.Add(1)
					continue
				}
				refusals, err := p.getWholeResponse(id)
				if err != nil {
					t.Error(err)
				}
				refused.Add(int64(refusals))
			}
		})
	}
	running.Wait()
	longest := standstills.stop()
	t.Logf("%d requests abandoned, %d refusals, the longest standstill of the upstreams %v", abandoned.Load(), refused.Load(), longest)
	if refused.Load() > 0 && longest == 0 {
		t.Errorf("%d requests refused, want none, since the upstreams did not stand still", refused.Load())
	}
}

// getWholeResponse sends a request through the first entry until it gets its response or the
// time of 30 s is over, and checks the response. It returns how often the request was refused.
func (p *proofSystem) getWholeResponse(id savorystep.RequestID) (refusals int, err error) {
	const size = 300_000
	for deadline := time.Now().Add(30 * time.Second); ; refusals++ {
		response := sendTo(p.t.Context(), p.callerAddress(0), proofRequest{
			method: http.MethodGet, path: fmt.Sprintf("/size/%d", size), service: "status", origin: "recife", id: id, timeout: time.Until(deadline),
		})
		info := response.kind.Info()
		isRefused := response.err == nil && response.execution == savorystep.NotExecuted && info.Retryable
		if !isRefused || time.Until(deadline) < info.RetryDelay {
			return refusals, checkWholeResponse(response, id, size)
		}
		for _, u := range p.endpoints {
			if u.Stats().RunsByRequest[id] > 0 {
				return refusals, fmt.Errorf("request %s ran, but was refused as not executed: kind %s", id, response.kind)
			}
		}
		time.Sleep(info.RetryDelay)
	}
}

// abandon sends a request and disconnects before its response or in the middle of
// it, depending on n.
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

// TestProofLargeTransfers guards against an entry that buffers a whole body in
// memory, and against a large body that arrives incomplete or altered.
func TestProofLargeTransfers(t *testing.T) {
	t.Parallel()
	p := startProofSystem(t, proofConfig{Entries: 1, EndpointsPerService: 3, Services: []savorystep.Service{"claims"}})
	p.applyAndWait(p.equalSharesRecord("claims", proofRegions...))
	base := "http://" + string(p.callerAddress(0)) + "/s/claims"
	hash := sha256.New()
	body := io.TeeReader(io.LimitReader(&patternReader{}, proofTransferBytes), hash)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPut, base+"/photos", body)
	if err != nil {
		t.Fatal(err)
	}
	request.ContentLength = proofTransferBytes
	request.Header.Set(savorystep.HeaderDeadline, "120000")
	response, err := proofTransport.RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	var upstreamResponse standin.UpstreamResponse
	if err := json.NewDecoder(response.Body).Decode(&upstreamResponse); err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if upstreamResponse.Length != proofTransferBytes || upstreamResponse.SHA256 != hex.EncodeToString(hash.Sum(nil)) {
		t.Errorf("the upstream received %d bytes with hash %s, want %d bytes with hash %x", upstreamResponse.Length, upstreamResponse.SHA256, proofTransferBytes, hash.Sum(nil))
	}
	upload := peakMemory(t, p.entries[0])
	request, err = http.NewRequestWithContext(t.Context(), http.MethodGet, fmt.Sprintf("%s/size/%d", base, proofTransferBytes), http.NoBody)
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
	if err != nil || received != proofTransferBytes {
		t.Errorf("received %d bytes with error %v, want %d bytes", received, err, proofTransferBytes)
	}
	download := peakMemory(t, p.entries[0])
	t.Logf("the entry's peak memory was %d MiB after the upload and %d MiB after the download", upload>>20, download>>20)
	if download > proofMaxMemoryBytes {
		t.Errorf("the entry's peak memory was %d MiB, want at most %d MiB", download>>20, proofMaxMemoryBytes>>20)
	}
}

// A patternReader yields bytes that depend on their position.
type patternReader struct{ offset int }

// Read implements io.Reader.
func (r *patternReader) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = byte(r.offset*7 + r.offset>>8)
		r.offset++
	}
	return len(b), nil
}
