package cmd

import (
	"fmt"
	"net/http"
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

// capsRecord shifts all callers of recife to natal under a cap and a limit.
func capsRecord(p *proofSystem) savorystep.Record {
	record := p.record("stock", "recife", "natal")
	record.Shifts = []savorystep.Shift{{From: "recife", To: "natal", Percent: 100, Cap: proofShiftCap, GrowthPerSecond: 100}}
	record.InFlightLimits = map[savorystep.Region]savorystep.Slots{"natal": proofRegionLimit}
	return record
}

// capsRequest returns a request that runs for 20 ms. Two of three come from the
// region that is shifted.
func capsRequest(worker, n int) proofRequest {
	from := "recife"
	if worker%3 == 0 {
		from = "natal"
	}
	return proofRequest{
		method: http.MethodGet, path: "/run/20000", service: "stock", from: from,
		id: savorystep.RequestID(fmt.Sprintf("caps-%d-%d", worker, n)),
	}
}

// startCaps starts a system under more load than the caps allow.
func startCaps(t *testing.T, entries int, table savorystep.Table) (*proofSystem, *proofLoad) {
	t.Helper()
	p := startProof(t, proofConfig{
		Entries: entries, Endpoints: 4, Services: []savorystep.Service{"stock"}, Regions: []savorystep.Region{"recife", "natal"}, Slots: 8, Table: table,
	})
	p.apply(capsRecord(p))
	return p, p.startLoad(24, capsRequest)
}

// most returns the most requests of the shift and into the region at once.
func (p *proofSystem) mostCaps() (shift, region int) {
	return p.running.mostOf(proofFlow{service: "stock", from: "recife", to: "natal"}), p.running.mostOf(proofFlow{service: "stock", to: "natal"})
}

// TestProofCaps guards against a shift past its cap and a region past its
// limit while entries are killed and join, the platform is down, and an entry
// is paused past the lifetime of its grants and goes on under load. The
// admitted part must not fall to zero in the outage.
func TestProofCaps(t *testing.T) {
	if testing.Short() {
		t.Skip("takes 65 s")
	}
	t.Parallel()
	p, load := startCaps(t, 4, nil)
	var last int64
	phase := func(name string, duration time.Duration) int64 {
		time.Sleep(duration)
		now := load.answered.Load()
		part := now - last
		last = now
		shift, region := p.mostCaps()
		t.Logf("%s: %d answered in %v, most at once so far: shift %d, region %d", name, part, duration, shift, region)
		return part
	}
	phase("all entries", 4*time.Second)
	p.entries[1].signal(syscall.SIGSTOP)
	paused := time.Now()
	phase("one paused", 3*time.Second)
	p.replaceEntry(2)
	phase("one killed and one joined", 4*time.Second)
	p.startEntry("recife")
	p.join(len(p.entries) - 1)
	// The lifetime of a grant is 30 s and the guard 5 s; the others take over
	// the paused entry's units after that.
	phase("one more joined", 40*time.Second-time.Since(paused))
	p.platform.SetFaults(standin.PlatformFaults{Down: true})
	p.entries[1].signal(syscall.SIGCONT)
	if phase("platform down, paused entry goes on", 6*time.Second) == 0 {
		t.Error("nothing was answered while the platform was down")
	}
	p.platform.SetFaults(standin.PlatformFaults{})
	phase("platform up", 3*time.Second)
	load.finish()
	shift, region := p.mostCaps()
	if shift > proofShiftCap || region > proofRegionLimit {
		t.Errorf("%d of the shift ran at once, the cap is %d; %d in the region, the limit is %d", shift, proofShiftCap, region, proofRegionLimit)
	}
	t.Logf("%d answered, refused: %v", load.answered.Load(), load.kinds)
}

// TestProofCapsUnchecked shows that the caps are passed if the conditions on
// the rows of budgets are removed.
func TestProofCapsUnchecked(t *testing.T) {
	t.Parallel()
	p, load := startCaps(t, 4, &uncheckedTable{Table: standin.NewTable(), prefixes: []savorystep.RowKey{"budget/"}})
	p.await("the caps to be passed", func() bool {
		shift, region := p.mostCaps()
		return shift > proofShiftCap || region > proofRegionLimit
	})
	load.finish()
}
