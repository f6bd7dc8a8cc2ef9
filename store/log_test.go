package store_test

import (
	"context"
	"errors"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"savorystep"
	"savorystep/standin"
	"savorystep/store"
)

// startLog returns a running configuration log of an instance.
func startLog(t *testing.T, table savorystep.Table, node *logNode) *store.Log {
	t.Helper()
	l := store.NewLog(store.LogConfig{Table: table, Facts: node, Members: node, Peers: node, EventRecorder: node})
	node.setLog(l)
	startRunner(t, l)
	return l
}

// change returns a change that sets the record of a service with the given
// names.
func change(id string, service savorystep.Service, base savorystep.Revision, names ...savorystep.Name) savorystep.Change {
	return savorystep.Change{
		ID: savorystep.ChangeID(id), Service: service, BaseRevision: base, Author: "author of " + id,
		Record: &savorystep.Record{Schema: 2, Service: service, Aliases: names},
	}
}

// apply applies a change within a minute.
func apply(t *testing.T, l *store.Log, change savorystep.Change) (savorystep.Revision, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	return l.Apply(ctx, change)
}

// mustApply applies a change and fails the test if it is not accepted.
func mustApply(t *testing.T, l *store.Log, change savorystep.Change) savorystep.Revision {
	t.Helper()
	revision, err := apply(t, l, change)
	if err != nil {
		t.Fatalf("Apply of change %q = %v", change.ID, err)
	}
	return revision
}

// waitForRevision waits until a revision is in force and fails the test after
// the timeout.
func waitForRevision(t *testing.T, l *store.Log, revision savorystep.Revision, timeout time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	if err := l.Wait(ctx, revision); err != nil {
		t.Fatal(err)
	}
}

// TestLogLostAnswer guards against a change that is applied twice or reported
// as refused because the responses to its commits are lost.
func TestLogLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable()
		faulty := standin.NewFaultyTable(table)
		l := startLog(t, faulty, newLogNetwork().node("a"))
		faulty.SetFaults(standin.TableFaults{LoseResponses: 1 << 20})
		for i := range 5 {
			c := change(strconv.Itoa(i), "stock", savorystep.Revision(i))
			for range 2 { // The operator applies it again.
				if revision := mustApply(t, l, c); revision != savorystep.Revision(i+1) {
					t.Errorf("change %d accepted at revision %d, want one more than its number", i, revision)
				}
			}
		}
	})
}

// TestLogLateCommit guards against a change that takes effect after a conflict
// was reported to its operator, and against one that takes effect twice.
func TestLogLateCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable()
		faulty := standin.NewFaultyTable(table)
		net := newLogNetwork()
		first, second := startLog(t, faulty, net.node("a")), startLog(t, table, net.node("b"))
		faulty.SetFaults(standin.TableFaults{HoldCommits: true})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := first.Apply(ctx, change("late", "stock", 0))
		wantKind(t, err, savorystep.KindPlatformDown)
		mustApply(t, second, change("other", "stock", 0))
		faulty.SetFaults(standin.TableFaults{})
		_, err = apply(t, first, change("late", "stock", 0))
		wantKind(t, err, savorystep.KindVersionConflict)
		if err == nil || !strings.Contains(err.Error(), "version 1") {
			t.Errorf("conflict %v does not name the current version", err)
		}
		if err := faulty.ApplyHeldCommits(t.Context()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		if history, err := second.History(t.Context(), "", 10); err != nil || len(history) != 1 || history[0].ID != "other" {
			t.Errorf("History after the late commit = %v, %v, want only the accepted change", history, err)
		}
	})
}

// TestLogLateCommitDuringApply guards against a conflict that is reported for a
// change that took effect by a late commit during Apply.
func TestLogLateCommitDuringApply(t *testing.T) {
	for _, key := range []savorystep.RowKey{"head", "changeid/x", "record/stock"} {
		t.Run(string(key), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				faulty := standin.NewFaultyTable(standin.NewTable())
				hooked := &hookTable{Table: faulty}
				l := startLog(t, hooked, newLogNetwork().node("a"))
				faulty.SetFaults(standin.TableFaults{HoldCommits: true})
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
				defer cancel()
				_, err := l.Apply(ctx, change("x", "stock", 0))
				wantKind(t, err, savorystep.KindPlatformDown)
				faulty.SetFaults(standin.TableFaults{})
				for _, after := range []bool{false, true} {
					var seen atomic.Bool
					seen.Store(after)
					hooked.configure(func() {
						hooked.onGet = func(got savorystep.RowKey) {
							if seen.Load() {
								_ = faulty.ApplyHeldCommits(t.Context()) // Only the first call has an effect.
							}
							if got == key {
								seen.Store(true)
							}
						}
					})
					if revision := mustApply(t, l, change("x", "stock", 0)); revision != 1 {
						t.Errorf("change accepted at revision %d, want 1", revision)
					}
				}
			})
		})
	}
}

// TestLogRace guards against lost updates: of the concurrent changes of a
// record, one is accepted for each base, and changes of other records are not
// refused.
func TestLogRace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewFaultyTable(standin.NewTable())
		table.SetFaults(standin.TableFaults{Latency: 5 * time.Millisecond})
		net := newLogNetwork()
		logs := []*store.Log{startLog(t, table, net.node("a")), startLog(t, table, net.node("b"))}
		results := make(chan error, 20)
		for i := range 20 {
			go func() {
				service := savorystep.Service("shared")
				if i >= 10 {
					service = savorystep.Service(fmt.Sprint("own", i))
				}
				_, err := apply(t, logs[i%2], change(strconv.Itoa(i), service, 0))
				results <- err
			}()
		}
		won, conflicts := 0, 0
		for range 20 {
			switch err := <-results; savorystep.KindOf(err) {
			case savorystep.KindNone:
				won++
			case savorystep.KindVersionConflict:
				conflicts++
			default:
				t.Errorf("Apply = %v, want acceptance or a version conflict", err)
			}
		}
		if won != 11 || conflicts != 9 {
			t.Errorf("%d changes accepted, %d refused, want 11 and 9", won, conflicts)
		}
	})
}

// TestLogNames guards against a name that resolves to two services.
func TestLogNames(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := startLog(t, standin.NewTable(), newLogNetwork().node("a"))
		mustApply(t, l, change("1", "stock", 0, "stok", "stokc"))
		for _, c := range []savorystep.Change{
			change("2", "orders", 0, "stok"), change("3", "stok", 0), change("4", "orders", 0, "stock"),
			{ID: "5", Service: "a", Record: &savorystep.Record{Service: "b"}},
			{ID: "", Service: "a"},
			{ID: "6"},
		} {
			_, err := apply(t, l, c)
			wantKind(t, err, savorystep.KindBadRequest)
		}
		mustApply(t, l, change("7", "stock", 1, "stokc"))
		mustApply(t, l, change("8", "orders", 0, "stok"))
		if got := l.View().ServicesByName; got["stok"] != "orders" || got["stokc"] != "stock" {
			t.Errorf("services by name %v, want stok of orders and stokc of stock", got)
		}
	})
}

// TestLogRemove guards against a removed record that reappears, from the table
// or from a peer, at an instance that missed the removal.
func TestLogRemove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable()
		faulty := standin.NewFaultyTable(table)
		net := newLogNetwork()
		behind := startLog(t, faulty, net.node("behind"))
		writer := startLog(t, table, net.node("writer"))
		mustApply(t, writer, change("1", "gone", 0))
		waitForRevision(t, behind, 1, 5*time.Second)
		faulty.SetFaults(standin.TableFaults{Down: true})
		net.setPartitioned(true)
		mustApply(t, writer, savorystep.Change{ID: "2", Service: "gone", BaseRevision: 1})
		_, err := apply(t, writer, savorystep.Change{ID: "3", Service: "gone", BaseRevision: 0})
		wantKind(t, err, savorystep.KindNotFound)
		mustApply(t, writer, change("4", "stock", 0))
		loaded := startLog(t, table, net.node("loaded"))
		waitForRevision(t, loaded, 3, 5*time.Second)
		net.remove("writer")
		net.setPartitioned(false)
		waitForRevision(t, behind, 3, 5*time.Second)
		if !reflect.DeepEqual(behind.View(), loaded.View()) || len(behind.View().Records) != 1 {
			t.Errorf("view %+v, want %+v", behind.View(), loaded.View())
		}
		if revision := mustApply(t, loaded, change("5", "gone", 0)); revision != 4 {
			t.Errorf("record created again at revision %d, want 4", revision)
		}
	})
}

// TestLogLoadDuringChanges guards against a loaded configuration that mixes
// revisions because changes were accepted between the pages of the scan.
func TestLogLoadDuringChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable()
		writer := startLog(t, table, newLogNetwork().node("writer"))
		for i := range 300 { // More than a page.
			mustApply(t, writer, change(strconv.Itoa(i), savorystep.Service(fmt.Sprintf("s%03d", i)), 0))
		}
		hooked := &hookTable{Table: table}
		hooked.onScan = func(prefix, after savorystep.RowKey) {
			if prefix == "record/" && after != "" && writer.View().Revision == 300 {
				for _, service := range []savorystep.Service{"s000", "s299"} {
					mustApply(t, writer, change("again "+string(service), service, writer.View().RecordRevisions[service]))
				}
			}
		}
		loaded := startLog(t, hooked, newLogNetwork().node("loaded"))
		waitForRevision(t, loaded, 1, 500*time.Millisecond)
		if revision := loaded.View().Revision; revision != 302 {
			t.Errorf("loaded revision %d, want 302", revision)
		}
		checkView(t, loaded.View(), writer)
	})
}

// TestLogSlowFetch guards against changes that were read before newer ones came
// into force and then overwrite them.
func TestLogSlowFetch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable()
		writer := startLog(t, table, newLogNetwork().node("writer"))
		mustApply(t, writer, change("1", "stock", 0))
		hooked := &hookTable{Table: table}
		l := startLog(t, hooked, newLogNetwork().node("slow"))
		waitForRevision(t, l, 1, 5*time.Second)
		mustApply(t, writer, change("2", "stock", 1))
		var delayed atomic.Bool
		hooked.configure(func() {
			hooked.afterScan = func() {
				if delayed.CompareAndSwap(false, true) {
					mustApply(t, l, change("3", "stock", 2))
				}
			}
		})
		waitForRevision(t, l, 3, 5*time.Second)
		synctest.Wait()
		if view := l.View(); view.Revision != 3 || view.RecordRevisions["stock"] != 3 {
			t.Errorf("view %+v, want revision 3 and version 3 of stock", view)
		}
	})
}

// checkView checks that a view is the configuration of its revision.
func checkView(t *testing.T, view *savorystep.View, writer *store.Log) {
	t.Helper()
	history, err := writer.History(t.Context(), "", 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	versions := versionsAt(history, view.Revision)
	if !reflect.DeepEqual(view.RecordRevisions, versions) {
		t.Errorf("revision %d has versions %v, want %v", view.Revision, view.RecordRevisions, versions)
	}
}

// TestLogPropagation guards against a change that does not come into force at
// all instances within seconds: through gossip and peers while the platform is
// unavailable to the others, and through polling while the peers are
// unreachable.
func TestLogPropagation(t *testing.T) {
	cases := []struct {
		name   string
		down   bool
		cut    bool
		within time.Duration
	}{
		{name: "all well", within: 100 * time.Millisecond},
		{name: "peers unreachable", cut: true, within: 2 * time.Second},
		{name: "platform down", down: true, within: time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := standin.NewTable()
				faulty := standin.NewFaultyTable(table)
				net := newLogNetwork()
				writer := startLog(t, table, net.node("writer"))
				others := []*store.Log{startLog(t, faulty, net.node("x")), startLog(t, faulty, net.node("y"))}
				time.Sleep(3 * time.Second)
				net.setPartitioned(c.cut)
				faulty.SetFaults(standin.TableFaults{Down: c.down})
				for i := range 5 {
					revision := mustApply(t, writer, change(strconv.Itoa(i), "stock", savorystep.Revision(i)))
					for _, other := range others {
						waitForRevision(t, other, revision, c.within)
					}
					time.Sleep(3 * time.Second)
				}
			})
		})
	}
}

// TestLogStartFromPeers guards against an instance that can't start while the
// platform is unavailable, that takes a part of the configuration for all of
// it, or that is ready before it has the greatest revision of the members.
func TestLogStartFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable()
		net := newLogNetwork()
		net.pageLimit = 7
		writer := startLog(t, table, net.node("writer"))
		for i := range 600 { // More than maxRecentChanges.
			service := savorystep.Service(fmt.Sprint("s", i%50))
			mustApply(t, writer, change(strconv.Itoa(i), service, writer.View().RecordRevisions[service]))
		}
		faulty := standin.NewFaultyTable(table)
		faulty.SetFaults(standin.TableFaults{Down: true})
		node := net.node("new")
		known := false
		l := store.NewLog(store.LogConfig{
			Table: faulty, Facts: node, Members: node, Peers: node,
			PeerRevision: func(time.Time) (savorystep.Revision, bool) { return 600, known },
		})
		if l.Ready() {
			t.Error("ready at revision 0")
		}
		startRunner(t, l)
		for _, revision := range []savorystep.Revision{1, 600} {
			waitForRevision(t, l, revision, 10*time.Second)
			checkView(t, l.View(), writer)
		}
		if l.Ready() {
			t.Error("ready before the members reported")
		}
		known = true
		if !l.Ready() {
			t.Error("not ready at the members' revision")
		}
	})
}

// TestLogReady guards against an instance that is ready before it has read the
// head and has it in force.
func TestLogReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable()
		mustApply(t, startLog(t, table, newLogNetwork().node("writer")), change("1", "stock", 0))
		faulty := standin.NewFaultyTable(table)
		faulty.SetFaults(standin.TableFaults{Down: true})
		l := startLog(t, faulty, newLogNetwork().node("a"))
		time.Sleep(time.Minute)
		if l.Ready() {
			t.Error("ready while the platform is unavailable")
		}
		faulty.SetFaults(standin.TableFaults{})
		time.Sleep(2 * time.Second)
		if !l.Ready() || l.View().Revision != 1 {
			t.Errorf("ready %v at revision %d, want true at 1", l.Ready(), l.View().Revision)
		}
	})
}

// TestLogNeverReverts guards against a revision that decreases because the
// table or a peer has an older one.
func TestLogNeverReverts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newLogNetwork()
		node := net.node("a")
		moved := &replaceableTable{Table: standin.NewTable()}
		l := startLog(t, moved, node)
		for i := range 3 {
			mustApply(t, l, change(strconv.Itoa(i), "stock", savorystep.Revision(i)))
		}
		// The older instance must not take the three changes from its peer, or its table
		// would be below its revision.
		net.setPartitioned(true)
		older := startLog(t, standin.NewTable(), net.node("b"))
		mustApply(t, older, change("x", "stock", 0))
		net.setPartitioned(false)
		moved.replace(standin.NewTable()) // The platform has lost its data.
		time.Sleep(10 * time.Second)
		if view := l.View(); view.Revision != 3 || view.RecordRevisions["stock"] != 3 {
			t.Errorf("view %+v, want revision 3 and version 3 of stock", view)
		}
	})
}

// TestLogEvents guards against changes that are missing from the event
// timeline.
func TestLogEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable()
		net := newLogNetwork()
		nodes := []*logNode{net.node("a"), net.node("b")}
		writer := startLog(t, table, nodes[0])
		other := startLog(t, table, nodes[1])
		waitForRevision(t, other, mustApply(t, writer, change("1", "stock", 0)), 5*time.Second)
		synctest.Wait()
		kinds := func(node *logNode) (kinds []savorystep.EventKind) {
			for _, event := range node.events {
				kinds = append(kinds, event.Kind)
			}
			return kinds
		}
		if got := kinds(nodes[0]); !reflect.DeepEqual(got, []savorystep.EventKind{savorystep.EventApply, savorystep.EventForce}) {
			t.Errorf("events of the writer: %v, want apply and force", got)
		}
		if got := kinds(nodes[1]); !reflect.DeepEqual(got, []savorystep.EventKind{savorystep.EventForce}) {
			t.Errorf("events of the other instance: %v, want force", got)
		}
	})
}

// TestLogEventsOfUnansweredCommit guards against a change whose answer from the table is
// late or lost, and that is missing from the event timeline as applied, or in force there
// before it was applied.
func TestLogEventsOfUnansweredCommit(t *testing.T) {
	for name, answer := range map[string]error{
		"late answer": nil,
		"lost answer": savorystep.NewError(savorystep.KindPlatformDown, "lost"),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				node := newLogNetwork().node("writer")
				table := &slowCommitTable{Table: standin.NewTable(), delay: 10 * time.Second, err: answer}
				mustApply(t, startLog(t, table, node), change("1", "stock", 0))
				synctest.Wait()
				var kinds []savorystep.EventKind
				for _, event := range node.events {
					kinds = append(kinds, event.Kind)
				}
				if want := []savorystep.EventKind{savorystep.EventApply, savorystep.EventForce}; !reflect.DeepEqual(kinds, want) {
					t.Errorf("events %v, want %v", kinds, want)
				}
			})
		})
	}
}

// TestLogHistory guards against changes that are missing from the history once
// they are no longer in memory.
func TestLogHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable()
		writer := startLog(t, table, newLogNetwork().node("writer"))
		for i := range 700 {
			service := savorystep.Service(fmt.Sprint("s", i%10))
			mustApply(t, writer, change(strconv.Itoa(i), service, writer.View().RecordRevisions[service]))
		}
		loaded := startLog(t, table, newLogNetwork().node("loaded"))
		waitForRevision(t, loaded, 700, 5*time.Second)
		for _, l := range []*store.Log{writer, loaded} {
			for _, c := range []struct {
				service     savorystep.Service
				limit, want int
				first, last savorystep.Revision
			}{
				{service: "", limit: 1000, want: 700, first: 700, last: 1},
				{service: "", limit: 10, want: 10, first: 700, last: 691},
				{service: "s3", limit: 1000, want: 70, first: 694, last: 4},
				{service: "none", limit: 10},
			} {
				history, err := l.History(t.Context(), c.service, c.limit)
				if err != nil || len(history) != c.want {
					t.Fatalf("History(%q, %d) = %d changes, %v", c.service, c.limit, len(history), err)
				}
				if c.want > 0 && (history[0].Revision != c.first || history[c.want-1].Revision != c.last) {
					t.Errorf("History(%q, %d) from %d to %d", c.service, c.limit, history[0].Revision, history[c.want-1].Revision)
				}
			}
		}
	})
}

// TestLogWait guards against a Wait that outlasts its context.
func TestLogWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := startLog(t, standin.NewTable(), newLogNetwork().node("a"))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		err := l.Wait(ctx, 1)
		wantKind(t, err, savorystep.KindDeadlineExceeded)
		if !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("Wait = %v, want context.DeadlineExceeded as its cause", err)
		}
	})
}
