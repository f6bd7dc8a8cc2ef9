package cmd

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"sort"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"savorystep"
	"savorystep/operator"
	"savorystep/standin"
)

// A configInput is a change with the version that it is based on, or the read of
// the final version.
type configInput struct {
	base savorystep.Revision
	read bool
}

// A configOutput is the revision of a change that was made, or 0 for a version
// conflict.
type configOutput struct {
	revision savorystep.Revision
}

// configModel is a compare-and-set register that holds the version of a record.
var configModel = porcupine.Model{
	Init: func() any { return savorystep.Revision(0) },
	Step: func(state, input, output any) (bool, any) {
		version, in, out := state.(savorystep.Revision), input.(configInput), output.(configOutput)
		switch {
		case in.read:
			return version == out.revision, version
		case out.revision == 0:
			return version != in.base, version
		default:
			return version == in.base && out.revision > version, out.revision
		}
	},
}

// A configAttempt is one attempt of an operator to change the record.
type configAttempt struct {
	id                   savorystep.ChangeID
	base                 savorystep.Revision
	callTime, returnTime time.Time
	outcome              *operator.Outcome
	err                  error
}

// newOperatorClient returns an operators' client of one entry.
func newOperatorClient(settings operator.InstanceSettings) *operator.Client {
	return operator.NewClient(operator.ClientConfig{Servers: []string{string(settings.OperatorAddress)}, Token: "process-test-token", AttemptTimeout: 4 * time.Second})
}

// applyCompetingChanges changes a record repeatedly until stop is closed. Each
// change is based on the version that the operator's entry has in force.
func applyCompetingChanges(ctx context.Context, client *operator.Client, operatorIndex int, record savorystep.Record, stop <-chan struct{}) []configAttempt {
	var attempts []configAttempt
	for n := 0; ; n++ {
		select {
		case <-stop:
			return attempts
		default:
		}
		current, err := client.Record(ctx, record.Service)
		var base savorystep.Revision
		if err == nil {
			base = current.RecordRevision
		} else if savorystep.KindOf(err) != savorystep.KindNotFound {
			savorystep.Sleep(ctx, 50*time.Millisecond)
			continue
		}
		changed := record
		changed.Aliases = []savorystep.Name{savorystep.Name(fmt.Sprintf("name-%d-%d", operatorIndex, n))}
		attempt := configAttempt{id: savorystep.ChangeID(fmt.Sprintf("change-%s-%d-%d", record.Service, operatorIndex, n)), base: base, callTime: time.Now()}
		attempt.outcome, attempt.err = client.Apply(ctx, operator.ApplyRequest{
			ChangeInfo: operator.ChangeInfo{ID: attempt.id, Author: "proof"}, BaseRevision: base, Record: &changed,
		})
		attempt.returnTime = time.Now()
		attempts = append(attempts, attempt)
		savorystep.Sleep(ctx, 20*time.Millisecond)
	}
}

// checkChangeHistory checks the attempts against the history of the record. It
// returns the violations, and how many attempts were accepted, conflicted or had an
// unknown outcome.
func checkChangeHistory(start time.Time, attempts []configAttempt, history []savorystep.Change) (violations []string, accepted, conflicts, unknown int) {
	sort.Slice(history, func(i, k int) bool { return history[i].Revision < history[k].Revision })
	revisions := make(map[savorystep.ChangeID]savorystep.Revision)
	var version savorystep.Revision
	for _, change := range history {
		if change.BaseRevision != version {
			violations = append(violations, fmt.Sprintf("revision %d is based on %d, want %d", change.Revision, change.BaseRevision, version))
		}
		version = change.Revision
		if revisions[change.ID] != 0 {
			violations = append(violations, fmt.Sprintf("change %s was made more than once", change.ID))
		}
		revisions[change.ID] = change.Revision
	}
	ops := []porcupine.Operation{{
		ClientId: math.MaxInt32, Input: configInput{read: true}, Output: configOutput{revision: version}, Call: math.MaxInt64 - 1, Return: math.MaxInt64,
	}}
	for i, attempt := range attempts {
		op := porcupine.Operation{ClientId: i, Input: configInput{base: attempt.base}, Call: attempt.callTime.Sub(start).Nanoseconds(), Return: attempt.returnTime.Sub(start).Nanoseconds()}
		revision := revisions[attempt.id]
		switch kind := savorystep.KindOf(attempt.err); {
		case kind == savorystep.KindNone:
			accepted++
			op.Output = configOutput{revision: attempt.outcome.Revision}
		case kind == savorystep.KindVersionConflict:
			conflicts++
			if revision != 0 {
				violations = append(violations, fmt.Sprintf("change %s was rejected with a version conflict, but became revision %d", attempt.id, revision))
			}
			op.Output = configOutput{}
		case revision == 0:
			unknown++
			continue
		default:
			unknown++
			op.Output = configOutput{revision: revision}
			op.Return = math.MaxInt64 - 2
		}
		ops = append(ops, op)
	}
	if result, _ := porcupine.CheckOperationsVerbose(configModel, ops, 30*time.Second); result != porcupine.Ok {
		violations = append(violations, fmt.Sprintf("the changes are not linearizable as those of one compare-and-set register: %s", result))
	}
	return violations, accepted, conflicts, unknown
}

// A revisionWatcher records the highest revision of an entry and whether the
// revision ever decreased.
type revisionWatcher struct {
	highest   atomic.Uint64
	decreased atomic.Bool
}

// run polls the revision until stop is closed.
func (w *revisionWatcher) run(ctx context.Context, client *operator.Client, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		status, err := client.Status(ctx)
		if err != nil {
			continue
		}
		if uint64(status.Revision) < w.highest.Load() {
			w.decreased.Store(true)
		}
		w.highest.Store(max(w.highest.Load(), uint64(status.Revision)))
	}
}

// TestProofConfiguration guards against a change that is lost, made twice or
// overwritten by another operator's, and against a revision that decreases. Meanwhile
// the platform loses responses and commits late, and an entry is replaced. It also
// measures how long a change takes to be in force on all entries.
func TestProofConfiguration(t *testing.T) {
	if testing.Short() {
		t.Skip("takes 20 s")
	}
	t.Parallel()
	p := startProofSystem(t, proofConfig{Entries: 4})
	record := p.equalSharesRecord("status", proofRegions...)
	start := time.Now()
	stop := make(chan struct{})
	var running sync.WaitGroup
	attempts := make([][]configAttempt, 2)
	for i := range attempts {
		client := newOperatorClient(p.settings[i])
		running.Go(func() { attempts[i] = applyCompetingChanges(t.Context(), client, i, record, stop) })
	}
	watchers := make([]*revisionWatcher, 5)
	startWatcher := func(i int) {
		watchers[i] = &revisionWatcher{}
		client := newOperatorClient(p.settings[i])
		running.Go(func() { watchers[i].run(t.Context(), client, stop) })
	}
	for i := range 4 {
		startWatcher(i)
	}
	var highestSeen atomic.Uint64
	caller := p.entryClient("recife")
	running.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(10 * time.Millisecond):
			}
			caller.Evict("status")
			lookup, err := caller.Lookup(t.Context(), "status")
			if err != nil {
				continue
			}
			if uint64(lookup.Revision) < highestSeen.Load() {
				t.Errorf("a caller got revision %d after revision %d", lookup.Revision, highestSeen.Load())
			}
			highestSeen.Store(uint64(lookup.Revision))
		}
	})
	for _, faults := range []standin.PlatformFaults{{LoseResponses: 10}, {CommitDelayMillis: 300}, {DelayMillis: 200}, {LoseResponses: 10, DelayMillis: 50}, {Down: true}} {
		p.platform.SetFaults(faults)
		time.Sleep(1500 * time.Millisecond)
		p.platform.SetFaults(standin.PlatformFaults{})
		time.Sleep(500 * time.Millisecond)
	}
	p.entries[3].signal(syscall.SIGKILL)
	revisionBefore := watchers[0].highest.Load()
	p.platform.SetFaults(standin.PlatformFaults{LoseResponses: 10})
	p.startEntry("recife")
	p.awaitReady(4)
	startWatcher(4)
	status, err := newOperatorClient(p.settings[4]).Status(t.Context())
	if err != nil || uint64(status.Revision) < revisionBefore {
		t.Errorf("the new entry is ready with status %+v, error %v; want at least revision %d, which was in force before its start", status, err, revisionBefore)
	}
	time.Sleep(time.Second)
	p.platform.SetFaults(standin.PlatformFaults{})
	close(stop)
	running.Wait()
	// Wait until delayed commits have taken effect.
	time.Sleep(time.Second)
	client := operator.NewClient(operator.ClientConfig{Servers: []string{string(p.settings[0].OperatorAddress)}, Token: "process-test-token"})
	history, err := client.History(t.Context(), "status", 10_000)
	if err != nil {
		t.Fatal(err)
	}
	violations, accepted, conflicts, unknown := checkChangeHistory(start, append(attempts[0], attempts[1]...), history)
	for _, violation := range violations {
		t.Error(violation)
	}
	for i, w := range watchers {
		if w.decreased.Load() {
			t.Errorf("the revision of entry %d decreased", i)
		}
	}
	if accepted < 20 || conflicts == 0 {
		t.Errorf("%d changes accepted and %d conflicts during the faults, want at least 20 and 1", accepted, conflicts)
	}
	rolloutTimes := make([]time.Duration, 20)
	version := savorystep.Revision(0)
	for i := range rolloutTimes {
		current, err := client.Record(t.Context(), "status")
		if err != nil {
			t.Fatal(err)
		}
		version = max(version, current.RecordRevision)
		record.Aliases = []savorystep.Name{savorystep.Name(fmt.Sprint("last-", i))}
		outcome, err := client.Apply(t.Context(), operator.ApplyRequest{ChangeInfo: operator.ChangeInfo{ID: operator.NewChangeID()}, BaseRevision: version, Record: &record})
		if err != nil {
			t.Fatal(err)
		}
		version = outcome.Revision
		begin := time.Now()
		progress, err := client.WaitForRevision(t.Context(), version, 60*time.Second)
		if err != nil || !progress.Done {
			t.Fatalf("revision %d is not in force on all entries within 60 s: progress %+v, error %v", version, progress, err)
		}
		rolloutTimes[i] = time.Since(begin)
	}
	sort.Slice(rolloutTimes, func(i, k int) bool { return rolloutTimes[i] < rolloutTimes[k] })
	t.Logf("%d changes accepted, %d conflicts, %d unknown outcomes; in force on all entries after %v (median) and %v (longest of %d), allowed: 5 s",
		accepted, conflicts, unknown, rolloutTimes[len(rolloutTimes)/2], rolloutTimes[len(rolloutTimes)-1], len(rolloutTimes))
}

// TestProofConfigurationUnchecked shows that checkChangeHistory finds a lost change:
// it must report a violation if the conditions on the rows of the configuration are
// dropped.
func TestProofConfigurationUnchecked(t *testing.T) {
	t.Parallel()
	p := startProofSystem(t, proofConfig{
		Entries: 2,
		Table:   &uncheckedTable{Table: standin.NewTable(), uncheckedPrefixes: []savorystep.RowKey{"head", "change/", "record/"}},
	})
	start := time.Now()
	stop := make(chan struct{})
	var running sync.WaitGroup
	attempts := make([][]configAttempt, 2)
	for i := range attempts {
		client := newOperatorClient(p.settings[i])
		running.Go(func() {
			attempts[i] = applyCompetingChanges(t.Context(), client, i, p.equalSharesRecord("status", proofRegions...), stop)
		})
	}
	time.Sleep(2 * time.Second)
	close(stop)
	running.Wait()
	history, err := newOperatorClient(p.settings[0]).History(t.Context(), "status", 10_000)
	if err != nil {
		t.Logf("read history: %v", err)
	}
	if violations, accepted, _, _ := checkChangeHistory(start, append(attempts[0], attempts[1]...), history); len(violations) == 0 {
		t.Errorf("checkChangeHistory found no violation in %d accepted changes, want at least one", accepted)
	}
}

// TestProofJoinWithoutPlatform guards against an entry that, started while the
// platform is down, does not become ready, has an old configuration, or has no
// endpoints.
func TestProofJoinWithoutPlatform(t *testing.T) {
	t.Parallel()
	p := startProofSystem(t, proofConfig{Entries: 3, EndpointsPerService: 3, Services: []savorystep.Service{"status"}})
	p.applyAndWait(p.equalSharesRecord("status", proofRegions...))
	statusBefore, err := p.operatorClient().Status(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	p.platform.SetFaults(standin.PlatformFaults{Down: true})
	begin := time.Now()
	p.startEntry("recife")
	p.awaitReady(3)
	t.Logf("the entry was ready after %v", time.Since(begin))
	status, err := newOperatorClient(p.settings[3]).Status(t.Context())
	if err != nil || status.Revision != statusBefore.Revision {
		t.Errorf("the entry is ready with status %+v, error %v; want revision %d", status, err, statusBefore.Revision)
	}
	response := proofResponse{}
	for range 20 {
		response = sendTo(t.Context(), p.settings[3].CallerAddress, proofRequest{method: http.MethodGet, path: "/x", service: "status", origin: "recife", id: "join"})
		if response.fromUpstream() {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Errorf("20 requests through the new entry failed while the platform was down, want one to succeed; the last: kind %s, body %s, error %v", response.kind, response.body, response.err)
}
