package cmd

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"savorystep"
	"savorystep/standin"
	"savorystep/store"
)

// sendCrashingRequests sends a request that crashes each upstream that runs it,
// sequentially and through all entries in turn. It returns how many upstreams
// crashed.
func sendCrashingRequests(p *proofSystem, entries, rounds int) int {
	p.t.Helper()
	for _, u := range p.endpoints {
		u.SetFaults(standin.UpstreamFaults{CrashPath: "/poison"})
	}
	responsesByKind := make(map[string]int)
	for n := range rounds * entries {
		response := sendTo(p.t.Context(), p.callerAddress(n), proofRequest{method: http.MethodPut, path: "/poison", service: "status", origin: "recife", id: "poison", body: "poison", timeout: 10 * time.Second})
		responsesByKind[response.kind.String()]++
	}
	crashed := 0
	for _, u := range p.endpoints {
		if u.Stats().RunsByRequest["poison"] > 0 {
			crashed++
		}
	}
	p.t.Logf("%d of %d upstreams crashed, responses by kind: %v", crashed, len(p.endpoints), responsesByKind)
	return crashed
}

// otherRequestWorkers is how many other requests are in flight at once.
const otherRequestWorkers = 4

// TestProofQuarantineOutlivesEntries guards against a request that crashes upstreams again
// after all entries were killed and new ones started.
func TestProofQuarantineOutlivesEntries(t *testing.T) {
	t.Parallel()
	const entries = 2
	p := startProofSystem(t, proofConfig{Entries: entries, EndpointsPerService: 9, Services: []savorystep.Service{"status"}})
	p.applyAndWait(p.equalSharesRecord("status", proofRegions...))
	p.awaitPeers(entries)
	if crashed := sendCrashingRequests(p, entries, 5); crashed != 2 {
		t.Fatalf("%d upstreams crashed, want 2", crashed)
	}
	client := store.NewClient(store.ClientConfig{Address: p.platformAddress})
	defer client.Close()
	p.await("the crashes are saved", func() bool {
		row, err := client.Get(t.Context(), "crashes")
		return err == nil && row.Version != 0
	})
	for _, entry := range p.entries {
		entry.signal(syscall.SIGKILL)
	}
	for i := range entries {
		p.startEntry(proofRegions[i])
		p.awaitReady(entries + i)
		p.callerAddresses[i] = p.settings[entries+i].CallerAddress
	}
	if crashed := sendCrashingRequests(p, entries, 5); crashed > 2 {
		t.Errorf("%d upstreams crashed after all entries were replaced, want the 2 of before", crashed)
	}
	request := proofRequest{method: http.MethodPut, path: "/poison", service: "status", origin: "recife", id: "poison", body: "poison", timeout: 10 * time.Second}
	if response := sendTo(t.Context(), p.callerAddress(0), request); response.kind != savorystep.KindQuarantined {
		t.Errorf("response %+v of a new entry, want one of kind %v", response, savorystep.KindQuarantined)
	}
}

// startOtherRequests starts a load of requests that crash no upstream. newPath
// returns the path of each.
func startOtherRequests(p *proofSystem, newPath func(worker, n int) string) *proofLoad {
	return p.startLoad(otherRequestWorkers, func(worker, n int) proofRequest {
		return proofRequest{
			method: http.MethodGet, path: newPath(worker, n), service: "status", origin: "recife",
			id: savorystep.RequestID(fmt.Sprintf("other-%d-%d", worker, n)), timeout: 10 * time.Second,
		}
	})
}

// awaitOtherRequests waits until 200 other requests in a row were answered, and then
// checks that all but those in flight at a crash failed as not executed.
func awaitOtherRequests(p *proofSystem, load *proofLoad) {
	p.t.Helper()
	begin, answered, failed := time.Now(), load.answered.Load(), load.failed.Load()
	failedAtStart := failed
	p.t.Cleanup(func() {
		load.stopAndWait()
		p.t.Logf("failures of other requests: %v", load.failuresByKind)
	})
	p.await("200 other requests in a row are answered", func() bool {
		if failedNow := load.failed.Load(); failedNow != failed {
			answered, failed = load.answered.Load(), failedNow
		}
		return load.answered.Load() >= answered+200
	})
	p.t.Logf("200 other requests in a row were answered within %v after the crashes; %d failed after them", time.Since(begin), failed-failedAtStart)
	load.stopAndWait()
	p.t.Logf("other requests: %d answered, %d failed: %v", load.answered.Load(), load.failed.Load(), load.failuresByKind)
	// Each worker has one request in flight, and at most two upstreams crashed.
	load.checkFailures(p.t, 2*otherRequestWorkers)
}

// TestProofCrashingRequest guards against a request that crashes one upstream after
// the other while its caller retries it through all entries. Other requests must
// continue. Some of them may be rejected as not executed, because entries notice
// crashed upstreams by failed connections and retries have a budget.
func TestProofCrashingRequest(t *testing.T) {
	t.Parallel()
	p := startProofSystem(t, proofConfig{Entries: 4, EndpointsPerService: 9, Services: []savorystep.Service{"status"}})
	p.applyAndWait(p.equalSharesRecord("status", proofRegions...))
	p.awaitPeers(4)
	load := startOtherRequests(p, func(worker, n int) string { return fmt.Sprintf("/other/%d/%d", worker, n) })
	p.await("more than 100 other requests are answered", func() bool { return load.answered.Load() > 100 })
	if crashed := sendCrashingRequests(p, 4, 5); crashed > 2 {
		t.Errorf("%d upstreams crashed, want at most 2", crashed)
	}
	awaitOtherRequests(p, load)
}

// TestProofCrashingRequestPopular guards against the quarantine of a request that
// many callers send and that only ran on the same upstreams as a crashing one.
func TestProofCrashingRequestPopular(t *testing.T) {
	t.Parallel()
	p := startProofSystem(t, proofConfig{Entries: 4, EndpointsPerService: 9, Services: []savorystep.Service{"status"}})
	p.applyAndWait(p.equalSharesRecord("status", proofRegions...))
	p.awaitPeers(4)
	load := startOtherRequests(p, func(int, int) string { return "/slow/30" })
	p.await("more than 50 other requests are answered", func() bool { return load.answered.Load() > 50 })
	sendCrashingRequests(p, 4, 5)
	awaitOtherRequests(p, load)
}

// TestProofCrashingRequestAlone shows that the exchange of strikes between entries
// is needed: more upstreams crash if the entries have different secrets and so
// receive no strikes from each other.
func TestProofCrashingRequestAlone(t *testing.T) {
	t.Parallel()
	p := startProofSystem(t, proofConfig{EndpointsPerService: 9, Services: []savorystep.Service{"status"}, WithoutEntries: true})
	for i := range 3 {
		p.startEntryWithSecret("recife", fmt.Sprintf("process-test-secret-%d", i))
		p.awaitAndAddEntry(i)
	}
	p.applyAndWait(p.equalSharesRecord("status", proofRegions...))
	p.awaitStatusRecord(3)
	if crashed := sendCrashingRequests(p, 3, 3); crashed <= 2 {
		t.Errorf("%d upstreams crashed without exchange of strikes, want more than 2", crashed)
	}
}

// awaitPeers waits until each entry lists at least minReady instances as ready.
func (p *proofSystem) awaitPeers(minReady int) {
	p.t.Helper()
	for i := range p.entries {
		client := newOperatorClient(p.settings[i])
		p.await(fmt.Sprintf("entry %d lists its peers as ready", i), func() bool {
			status, err := client.Status(p.t.Context())
			if err != nil {
				return false
			}
			ready := 0
			for _, member := range status.Members {
				if member.Ready {
					ready++
				}
			}
			return ready >= minReady
		})
	}
}

// awaitStatusRecord waits until the first entries have the record of the service
// status.
func (p *proofSystem) awaitStatusRecord(entries int) {
	p.t.Helper()
	for i := range entries {
		client := newOperatorClient(p.settings[i])
		p.await(fmt.Sprintf("entry %d has the record", i), func() bool {
			_, err := client.Record(p.t.Context(), "status")
			return err == nil
		})
	}
}
