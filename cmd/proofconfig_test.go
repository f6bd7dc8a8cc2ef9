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

// A configInput is a change with the version that it replaces, or a read of
// the version at the end.
type configInput struct {
	base savorystep.Revision
	read bool
}

// A configOutput is the revision of a change that was made, 0 for a conflict.
type configOutput struct {
	revision savorystep.Revision
}

// configModel is a register that holds a record's version.
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

// A configAttempt is one change of an operator.
type configAttempt struct {
	id        savorystep.ChangeID
	base      savorystep.Revision
	call, end time.Time
	outcome   *operator.Outcome
	err       error
}

// operatorAt returns an operators' client of one entry.
func operatorAt(settings operator.InstanceSettings) *operator.Client {
	return operator.NewClient(operator.ClientConfig{Servers: []string{string(settings.OperatorAddress)}, Token: "process-test-token", AttemptTimeout: 4 * time.Second})
}

// race makes changes of one record until stop is closed. Each change replaces
// the version that the operator's entry has in force.
func race(ctx context.Context, client *operator.Client, number int, record savorystep.Record, stop <-chan struct{}) []configAttempt {
	var attempts []configAttempt
	for n := 0; ; n++ {
		select {
		case <-stop:
			return attempts
		default:
		}
		present, err := client.Record(ctx, record.Service)
		var base savorystep.Revision
		if err == nil {
			base = present.RecordRevision
		} else if savorystep.KindOf(err) != savorystep.KindNotFound {
			savorystep.Sleep(ctx, 50*time.Millisecond)
			continue
		}
		changed := record
		changed.Aliases = []savorystep.Name{savorystep.Name(fmt.Sprintf("name-%d-%d", number, n))}
		attempt := configAttempt{id: savorystep.ChangeID(fmt.Sprintf("change-%s-%d-%d", record.Service, number, n)), base: base, call: time.Now()}
		attempt.outcome, attempt.err = client.Apply(ctx, operator.ApplyRequest{
			ChangeInfo: operator.ChangeInfo{ID: attempt.id, Author: "proof"}, BaseRevision: base, Record: &changed,
		})
		attempt.end = time.Now()
		attempts = append(attempts, attempt)
		savorystep.Sleep(ctx, 20*time.Millisecond)
	}
}

// checkRace returns what is wrong with the attempts, given the history of the
// record, and counts the changes that were made, refused and unknown.
func checkRace(start time.Time, attempts []configAttempt, history []savorystep.Change) (wrong []string, made, refused, unknown int) {
	sort.Slice(history, func(i, k int) bool { return history[i].Revision < history[k].Revision })
	revisions := make(map[savorystep.ChangeID]savorystep.Revision)
	var version savorystep.Revision
	for _, change := range history {
		if change.BaseRevision != version {
			wrong = append(wrong, fmt.Sprintf("revision %d replaced %d, not %d", change.Revision, change.BaseRevision, version))
		}
		version = change.Revision
		if revisions[change.ID] != 0 {
			wrong = append(wrong, fmt.Sprintf("change %s was made twice", change.ID))
		}
		revisions[change.ID] = change.Revision
	}
	ops := []porcupine.Operation{{
		ClientId: math.MaxInt32, Input: configInput{read: true}, Output: configOutput{revision: version}, Call: math.MaxInt64 - 1, Return: math.MaxInt64,
	}}
	for i, attempt := range attempts {
		op := porcupine.Operation{ClientId: i, Input: configInput{base: attempt.base}, Call: attempt.call.Sub(start).Nanoseconds(), Return: attempt.end.Sub(start).Nanoseconds()}
		revision := revisions[attempt.id]
		switch kind := savorystep.KindOf(attempt.err); {
		case kind == savorystep.KindNone:
			made++
			op.Output = configOutput{revision: attempt.outcome.Revision}
		case kind == savorystep.KindVersionConflict:
			refused++
			if revision != 0 {
				wrong = append(wrong, fmt.Sprintf("%s was refused and is revision %d", attempt.id, revision))
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
		wrong = append(wrong, fmt.Sprintf("the changes are not those of one register: %s", result))
	}
	return wrong, made, refused, unknown
}

// A revisionWatch polls the revision of one entry.
type revisionWatch struct {
	most atomic.Uint64
	fell atomic.Bool
}

// run polls until stop is closed.
func (w *revisionWatch) run(ctx context.Context, client *operator.Client, stop <-chan struct{}) {
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
		if uint64(status.Revision) < w.most.Load() {
			w.fell.Store(true)
		}
		w.most.Store(max(w.most.Load(), uint64(status.Revision)))
	}
}

// TestProofConfiguration guards against a change that is lost, made twice or
// undone by another operator's, and against a revision that goes down, while
// the platform loses answers and commits late and an entry is replaced. It
// measures how long a change takes to be in force everywhere.
func TestProofConfiguration(t *testing.T) {
	if testing.Short() {
		t.Skip("takes 20 s")
	}
	t.Parallel()
	p := startProof(t, proofConfig{Entries: 4})
	record := p.record("status", proofRegions...)
	start := time.Now()
	stop := make(chan struct{})
	var running sync.WaitGroup
	attempts := make([][]configAttempt, 2)
	for i := range attempts {
		client := operatorAt(p.settings[i])
		running.Go(func() { attempts[i] = race(t.Context(), client, i, record, stop) })
	}
	watches := make([]*revisionWatch, 5)
	watch := func(i int) {
		watches[i] = &revisionWatch{}
		client := operatorAt(p.settings[i])
		running.Go(func() { watches[i].run(t.Context(), client, stop) })
	}
	for i := range 4 {
		watch(i)
	}
	var seen atomic.Uint64
	caller := p.client("recife")
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
			if uint64(lookup.Revision) < seen.Load() {
				t.Errorf("a caller saw revision %d after %d", lookup.Revision, seen.Load())
			}
			seen.Store(uint64(lookup.Revision))
		}
	})
	for _, faults := range []standin.PlatformFaults{{LoseResponses: 10}, {CommitDelayMillis: 300}, {DelayMillis: 200}, {LoseResponses: 10, DelayMillis: 50}, {Down: true}} {
		p.platform.SetFaults(faults)
		time.Sleep(1500 * time.Millisecond)
		p.platform.SetFaults(standin.PlatformFaults{})
		time.Sleep(500 * time.Millisecond)
	}
	p.entries[3].signal(syscall.SIGKILL)
	before := watches[0].most.Load()
	p.platform.SetFaults(standin.PlatformFaults{LoseResponses: 10})
	p.startEntry("recife")
	p.awaitReady(4)
	watch(4)
	status, err := operatorAt(p.settings[4]).Status(t.Context())
	if err != nil || uint64(status.Revision) < before {
		t.Errorf("the new entry is ready at %+v, %v; revision %d was in force before it started", status, err, before)
	}
	time.Sleep(time.Second)
	p.platform.SetFaults(standin.PlatformFaults{})
	close(stop)
	running.Wait()
	// Late commits have all taken effect after this time.
	time.Sleep(time.Second)
	client := operator.NewClient(operator.ClientConfig{Servers: []string{string(p.settings[0].OperatorAddress)}, Token: "process-test-token"})
	history, err := client.History(t.Context(), "status", 10_000)
	if err != nil {
		t.Fatal(err)
	}
	wrong, made, refused, unknown := checkRace(start, append(attempts[0], attempts[1]...), history)
	for _, w := range wrong {
		t.Error(w)
	}
	for i, w := range watches {
		if w.fell.Load() {
			t.Errorf("the revision at entry %d went down", i)
		}
	}
	if made < 20 || refused == 0 {
		t.Error("the faults did not meet enough changes")
	}
	times := make([]time.Duration, 20)
	version := savorystep.Revision(0)
	for i := range times {
		present, err := client.Record(t.Context(), "status")
		if err != nil {
			t.Fatal(err)
		}
		version = max(version, present.RecordRevision)
		record.Aliases = []savorystep.Name{savorystep.Name(fmt.Sprint("last-", i))}
		outcome, err := client.Apply(t.Context(), operator.ApplyRequest{ChangeInfo: operator.ChangeInfo{ID: operator.NewChangeID()}, BaseRevision: version, Record: &record})
		if err != nil {
			t.Fatal(err)
		}
		version = outcome.Revision
		begin := time.Now()
		progress, err := client.WaitForRevision(t.Context(), version, 60*time.Second)
		if err != nil || !progress.Done {
			t.Fatalf("revision %d is not in force: %+v, %v", version, progress, err)
		}
		times[i] = time.Since(begin)
	}
	sort.Slice(times, func(i, k int) bool { return times[i] < times[k] })
	t.Logf("%d changes made, %d refused, %d unknown; in force everywhere after %v (median) and %v (longest of %d), allowed: 5 s",
		made, refused, unknown, times[len(times)/2], times[len(times)-1], len(times))
}

// TestProofConfigurationUnchecked shows that the check finds a lost change if
// the conditions on the rows of the configuration are removed.
func TestProofConfigurationUnchecked(t *testing.T) {
	t.Parallel()
	p := startProof(t, proofConfig{
		Entries: 2,
		Table:   &uncheckedTable{Table: standin.NewTable(), prefixes: []savorystep.RowKey{"head", "change/", "record/"}},
	})
	start := time.Now()
	stop := make(chan struct{})
	var running sync.WaitGroup
	attempts := make([][]configAttempt, 2)
	for i := range attempts {
		client := operatorAt(p.settings[i])
		running.Go(func() { attempts[i] = race(t.Context(), client, i, p.record("status", proofRegions...), stop) })
	}
	time.Sleep(2 * time.Second)
	close(stop)
	running.Wait()
	history, err := operatorAt(p.settings[0]).History(t.Context(), "status", 10_000)
	if err != nil {
		t.Logf("the history can't be read: %v", err)
	}
	if wrong, made, _, _ := checkRace(start, append(attempts[0], attempts[1]...), history); len(wrong) == 0 {
		t.Errorf("the check found nothing wrong with %d changes", made)
	}
}

// TestProofJoinWithoutPlatform guards against a new entry that cannot start,
// starts with an old configuration, or knows no endpoint, while the platform is
// down.
func TestProofJoinWithoutPlatform(t *testing.T) {
	t.Parallel()
	p := startProof(t, proofConfig{Entries: 3, Endpoints: 3, Services: []savorystep.Service{"status"}})
	p.apply(p.record("status", proofRegions...))
	progress, err := p.operators().Status(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	p.platform.SetFaults(standin.PlatformFaults{Down: true})
	begin := time.Now()
	p.startEntry("recife")
	p.awaitReady(3)
	t.Logf("the entry was ready after %v", time.Since(begin))
	status, err := operatorAt(p.settings[3]).Status(t.Context())
	if err != nil || status.Revision != progress.Revision {
		t.Errorf("the entry is ready at %+v, %v; in force is %d", status, err, progress.Revision)
	}
	last := proofAnswer{}
	for range 20 {
		last = sendTo(t.Context(), p.settings[3].CallerAddress, proofRequest{method: http.MethodGet, path: "/x", service: "status", from: "recife", id: "join"})
		if last.answered() {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Errorf("a request through the new entry with the platform down: %s %s %v", last.kind, last.body, last.err)
}
