package upstream_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"

	"savorystep"
	"savorystep/standin"
	"savorystep/upstream"
)

// A fakeCrashLog is a crash log in memory.
type fakeCrashLog struct {
	mu      sync.Mutex
	crashes []savorystep.RequestCrashes
	edits   int
}

func (l *fakeCrashLog) Edit(_ context.Context, edit func([]savorystep.RequestCrashes) ([]savorystep.RequestCrashes, bool)) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.edits++
	if edited, isChanged := edit(slices.Clone(l.crashes)); isChanged {
		l.crashes = edited
	}
	return nil
}

// counts returns the number of saved requests and of edits.
func (l *fakeCrashLog) counts() (saved, edits int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.crashes), l.edits
}

// newKeptInstance returns the forwarders of an instance that saves its crashes, after it
// has read the log. era returns the era of the log's store.
func newKeptInstance(tb *testbed, id savorystep.InstanceID, crashLog *fakeCrashLog, era func() savorystep.StoreEra) savorystep.Forwarder {
	tb.t.Helper()
	quarantine, ok := newInstance(tb, id, true).(*upstream.Quarantine)
	if !ok {
		tb.t.Fatal("the forwarder of an instance is no quarantine")
	}
	_, editsBefore := crashLog.counts()
	keeper := upstream.NewCrashKeeper(upstream.CrashKeeperConfig{Clock: savorystep.SystemClock{}, CrashLog: crashLog, Quarantine: quarantine, StoreEra: era})
	ctx, cancel := context.WithCancel(context.Background())
	done := keeper.Start(ctx)
	tb.t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			tb.t.Errorf("keeper ended: %v", err)
		}
	})
	tb.eventually("the crash log is read", func() bool {
		_, edits := crashLog.counts()
		return edits > editsBefore
	})
	return quarantine
}

func firstEra() savorystep.StoreEra { return savorystep.FirstStoreEra }

// newPoisonedTestbed returns a testbed with upstreams that a request for /poison crashes.
func newPoisonedTestbed(t *testing.T) *testbed {
	t.Helper()
	tb := newTestbed(t)
	for i := range 6 {
		u := tb.addUpstream(savorystep.EndpointID(fmt.Sprint("u", i)), "natal", standin.UpstreamConfig{})
		u.SetFaults(standin.UpstreamFaults{CrashPath: "/poison"})
	}
	return tb
}

// TestCrashesOutliveInstances guards against a request that crashes upstreams again once
// all instances that knew of its crashes have ended. Without the log it does.
func TestCrashesOutliveInstances(t *testing.T) {
	tb := newPoisonedTestbed(t)
	crashLog := &fakeCrashLog{}
	first := newKeptInstance(tb, "instance-1", crashLog, firstEra)
	for range 4 {
		_, _ = first.Forward(t.Context(), get("r1", "/poison"))
	}
	tb.eventually("the crashes are saved", func() bool {
		saved, _ := crashLog.counts()
		return saved == 1
	})
	tb.factBus = &factBus{}
	_, err := newKeptInstance(tb, "instance-2", crashLog, firstEra).Forward(t.Context(), get("r1", "/poison"))
	wantError(t, err, savorystep.KindQuarantined)
	if crashed := tb.runsOf("r1"); crashed != 2 {
		t.Errorf("%d upstreams crashed, want 2", crashed)
	}
	_, err = newKeptInstance(tb, "instance-3", &fakeCrashLog{}, firstEra).Forward(t.Context(), get("r1", "/poison"))
	if savorystep.KindOf(err) == savorystep.KindQuarantined {
		t.Errorf("without the log the request is quarantined: %v", err)
	}
}

// TestCrashesSavedAfterRestore guards against a quarantine that is lost because the store
// came back from a copy without it.
func TestCrashesSavedAfterRestore(t *testing.T) {
	tb := newPoisonedTestbed(t)
	crashLog := &fakeCrashLog{}
	var mu sync.Mutex
	era := savorystep.FirstStoreEra
	instance := newKeptInstance(tb, "instance-1", crashLog, func() savorystep.StoreEra {
		mu.Lock()
		defer mu.Unlock()
		return era
	})
	for range 4 {
		_, _ = instance.Forward(t.Context(), get("r1", "/poison"))
	}
	isSaved := func() bool {
		saved, _ := crashLog.counts()
		return saved == 1
	}
	tb.eventually("the crashes are saved", isSaved)
	crashLog.mu.Lock()
	crashLog.crashes = nil
	crashLog.mu.Unlock()
	mu.Lock()
	era++
	mu.Unlock()
	tb.eventually("the crashes are saved again", isSaved)
}

// TestAnsweredCrashesLeaveLog guards against a request that is refused after a restart
// though it was answered after its crashes, and against one that is not quarantined.
func TestAnsweredCrashesLeaveLog(t *testing.T) {
	tb := newTestbed(t)
	tb.addUpstream("a", "natal", standin.UpstreamConfig{})
	crashLog := &fakeCrashLog{}
	instance := newKeptInstance(tb, "instance-1", crashLog, firstEra)
	peer := tb.factBus.join("instance-2")
	peer.Publish(savorystep.FactCrash, "9", savorystep.CrashFact{Endpoints: []savorystep.EndpointID{"x"}})
	peer.Publish(savorystep.FactCrash, "7", savorystep.CrashFact{Endpoints: []savorystep.EndpointID{"x", "y"}})
	tb.eventually("the quarantined one is saved", func() bool {
		crashLog.mu.Lock()
		defer crashLog.mu.Unlock()
		return len(crashLog.crashes) == 1 && crashLog.crashes[0].Fingerprint == 7 && len(crashLog.crashes[0].Endpoints) == 2
	})
	_, err := instance.Forward(t.Context(), get("r1", "/echo"))
	wantError(t, err, savorystep.KindQuarantined)
	peer.Publish(savorystep.FactCrash, "7", savorystep.CrashFact{Cleared: true})
	tb.eventually("it is removed", func() bool {
		saved, _ := crashLog.counts()
		return saved == 0
	})
}
