package cmd

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"savorystep"
	"savorystep/standin"
)

const (
	proofShiftCap    = 6
	proofRegionLimit = 10
)

// newCapsRecord returns a record that shifts all callers of recife to natal, with a
// cap on the shift and an in-flight limit for natal.
func newCapsRecord(p *proofSystem) savorystep.Record {
	record := p.equalSharesRecord("stock", "recife", "natal")
	record.Shifts = []savorystep.Shift{{From: "recife", To: "natal", Percent: 100, Cap: proofShiftCap, GrowthPerSecond: 100}}
	record.InFlightLimits = map[savorystep.Region]savorystep.Slots{"natal": proofRegionLimit}
	return record
}

// newCapsRequest returns a request that runs for 20 ms. Two of three workers send
// from recife, which is shifted.
func newCapsRequest(worker, n int) proofRequest {
	origin := "recife"
	if worker%3 == 0 {
		origin = "natal"
	}
	return proofRequest{
		method: http.MethodGet, path: "/run/20000", service: "stock", origin: origin,
		id: savorystep.RequestID(fmt.Sprintf("caps-%d-%d", worker, n)),
	}
}

// startCapsLoad starts a system and a load that is above the cap and the limit.
func startCapsLoad(t *testing.T, entries int, table savorystep.Table) (*proofSystem, *proofLoad) {
	t.Helper()
	p := startProofSystem(t, proofConfig{
		Entries: entries, EndpointsPerService: 4, Services: []savorystep.Service{"stock"}, Regions: []savorystep.Region{"recife", "natal"}, Slots: 8, Table: table,
	})
	p.applyAndWait(newCapsRecord(p))
	return p, p.startLoad(24, newCapsRequest)
}

// peakInFlight returns the largest numbers of requests that ran at once in the shift
// and in natal.
func (p *proofSystem) peakInFlight() (shift, region int) {
	return p.concurrency.peakOf(proofFlow{service: "stock", origin: "recife", target: "natal"}), p.concurrency.peakOf(proofFlow{service: "stock", target: "natal"})
}

// TestProofCaps guards against a shift above its cap and a region above its limit.
// Meanwhile entries are killed and added, the platform is down, and an entry is
// paused for longer than the lifetime of its grants and then resumes under load.
// Some requests must still be admitted during the outage of the platform.
func TestProofCaps(t *testing.T) {
	if testing.Short() {
		t.Skip("takes 65 s")
	}
	t.Parallel()
	p, load := startCapsLoad(t, 4, nil)
	var answeredBefore int64
	phase := func(name string, duration time.Duration) int64 {
		time.Sleep(duration)
		now := load.answered.Load()
		answered := now - answeredBefore
		answeredBefore = now
		shift, region := p.peakInFlight()
		t.Logf("%s: %d requests answered in %v, largest concurrency so far: shift %d, region %d", name, answered, duration, shift, region)
		return answered
	}
	phase("all entries", 4*time.Second)
	p.entries[1].signal(syscall.SIGSTOP)
	paused := time.Now()
	phase("one paused", 3*time.Second)
	p.replaceEntry(2)
	phase("one killed and one started", 4*time.Second)
	p.startEntry("recife")
	p.awaitAndAddEntry(len(p.entries) - 1)
	// The grant of the paused entry expires after 30 s. Its units stay reserved for 65 s,
	// since it is not listed as ended.
	phase("one more started", 40*time.Second-time.Since(paused))
	p.platform.SetFaults(standin.PlatformFaults{Down: true})
	p.entries[1].signal(syscall.SIGCONT)
	if phase("platform down, paused entry resumed", 6*time.Second) == 0 {
		t.Error("no request was answered in the 6 s while the platform was down, want at least one")
	}
	p.platform.SetFaults(standin.PlatformFaults{})
	phase("platform up", 3*time.Second)
	load.stopAndWait()
	shift, region := p.peakInFlight()
	if shift > proofShiftCap || region > proofRegionLimit {
		p.concurrency.logPeak(t, proofFlow{service: "stock", origin: "recife", target: "natal"})
		p.concurrency.logPeak(t, proofFlow{service: "stock", target: "natal"})
		t.Errorf("%d requests of the shift ran at once, want at most the cap of %d; %d in the region, want at most the limit of %d", shift, proofShiftCap, region, proofRegionLimit)
	}
	t.Logf("%d requests answered, failures: %v", load.answered.Load(), load.failuresByKind)
}

// TestProofCapsAbandoned guards against a shift above its cap and a region above its limit
// because callers leave: a request that its entry has given up runs at its endpoint until
// that notices.
func TestProofCapsAbandoned(t *testing.T) {
	t.Parallel()
	p := startProofSystem(t, proofConfig{
		Entries: 4, EndpointsPerService: 4, Services: []savorystep.Service{"stock"}, Regions: []savorystep.Region{"recife", "natal"}, Slots: 8,
	})
	p.applyAndWait(newCapsRecord(p))
	load := p.startLoad(24, func(worker, n int) proofRequest {
		request := newCapsRequest(worker, n)
		if n%2 == 0 {
			request.timeout = 15 * time.Millisecond
		}
		return request
	})
	time.Sleep(8 * time.Second)
	load.stopAndWait()
	shift, region := p.peakInFlight()
	if shift > proofShiftCap || region > proofRegionLimit {
		p.concurrency.logPeak(t, proofFlow{service: "stock", origin: "recife", target: "natal"})
		p.concurrency.logPeak(t, proofFlow{service: "stock", target: "natal"})
		t.Errorf("%d requests of the shift ran at once, want at most the cap of %d; %d in the region, want at most the limit of %d", shift, proofShiftCap, region, proofRegionLimit)
	}
	if load.answered.Load() == 0 {
		t.Error("no request was answered, want at least one")
	}
	t.Logf("%d requests answered, failures: %v", load.answered.Load(), load.failuresByKind)
}

// A staleTable answers the reads of budget rows with rows that are up to staleFor old, so
// that instances decide on the same version even if a busy machine runs them one after the
// other. The conditions of a correct table refuse what they write then.
type staleTable struct {
	savorystep.Table

	mu     sync.Mutex
	rows   map[savorystep.RowKey]savorystep.Row
	readAt map[savorystep.RowKey]time.Time
}

const staleFor = 10 * time.Second

func newStaleTable(table savorystep.Table) *staleTable {
	return &staleTable{Table: table, rows: make(map[savorystep.RowKey]savorystep.Row), readAt: make(map[savorystep.RowKey]time.Time)}
}

// Get reads a row.
func (t *staleTable) Get(ctx context.Context, key savorystep.RowKey) (savorystep.Row, error) {
	if !strings.HasPrefix(string(key), budgetPrefix) {
		return t.Table.Get(ctx, key)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if time.Since(t.readAt[key]) < staleFor {
		return t.rows[key], nil
	}
	row, err := t.Table.Get(ctx, key)
	if err == nil {
		t.rows[key], t.readAt[key] = row, time.Now()
	}
	return row, err
}

// budgetPrefix is the prefix of the keys of budget rows.
const budgetPrefix = "budget/"

// TestProofCapsUnchecked shows that TestProofCaps would find a fault: without the
// conditions on the rows of budgets the cap or the limit is exceeded.
func TestProofCapsUnchecked(t *testing.T) {
	t.Parallel()
	unchecked := &uncheckedTable{Table: standin.NewTable(), uncheckedPrefixes: []savorystep.RowKey{budgetPrefix}}
	p, load := startCapsLoad(t, 4, newStaleTable(unchecked))
	p.await("the cap or the limit is exceeded", func() bool {
		shift, region := p.peakInFlight()
		return shift > proofShiftCap || region > proofRegionLimit
	})
	load.stopAndWait()
}

// TestProofCapsStaleReads guards against a TestProofCapsUnchecked that passes because of
// its stale reads: with the conditions they don't exceed the cap or the limit.
func TestProofCapsStaleReads(t *testing.T) {
	t.Parallel()
	p, load := startCapsLoad(t, 4, newStaleTable(standin.NewTable()))
	time.Sleep(5 * time.Second)
	load.stopAndWait()
	shift, region := p.peakInFlight()
	if shift > proofShiftCap || region > proofRegionLimit {
		t.Errorf("%d requests of the shift ran at once, want at most %d; %d in the region, want at most %d", shift, proofShiftCap, region, proofRegionLimit)
	}
	if load.answered.Load() == 0 {
		t.Error("no request was answered, want at least one")
	}
}
