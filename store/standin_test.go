package store_test

import (
	"context"
	"net"
	"testing"
	"time"

	"savorystep"
	"savorystep/standin"
	"savorystep/store"
)

// newStandinClient returns a client of the stand-in, which serves a listener of
// its own for the client until the test ends.
func newStandinClient(tb testing.TB, p *standin.Platform) *store.Client {
	tb.Helper()
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := p.Serve(ctx, listener)
	client := store.NewClient(store.ClientConfig{Address: savorystep.Address(listener.Addr().String()), Timeout: 500 * time.Millisecond})
	tb.Cleanup(func() {
		client.Close()
		cancel()
		if err := <-done; err != nil {
			tb.Errorf("stand-in stopped with error: %v", err)
		}
	})
	return client
}

// startStandin starts a stand-in of the platform and returns it with a client.
func startStandin(tb testing.TB, faults standin.PlatformFaults) (*standin.Platform, *store.Client) {
	tb.Helper()
	p := standin.NewPlatform(standin.PlatformConfig{Faults: faults})
	return p, newStandinClient(tb, p)
}

// startRunner starts a runner and stops it when the test ends.
func startRunner(tb testing.TB, runner savorystep.Runner) {
	tb.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := runner.Start(ctx)
	tb.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			tb.Errorf("%T stopped with error: %v", runner, err)
		}
	})
}

// TestKeyedRequestThroughStandin guards against differences in the protocol of
// client and stand-in: a keyed request runs once, and a repetition gets the
// stored response, from the row and from an object.
func TestKeyedRequestThroughStandin(t *testing.T) {
	_, client := startStandin(t, standin.PlatformFaults{})
	for name, body := range map[string]int{"row": 10, "object": 100 << 10} {
		t.Run(name, func(t *testing.T) {
			first := store.NewIdempotencyStore(store.IdempotencyStoreConfig{Table: client, Objects: client.Objects()})
			second := store.NewIdempotencyStore(store.IdempotencyStoreConfig{Table: client, Objects: client.Objects()})
			startRunner(t, first)
			startRunner(t, second)
			key := savorystep.IdempotencyKey("order/ü " + name)
			attempt, err := first.Begin(t.Context(), "orders", key, 7)
			if err != nil || attempt.StoredResponse() != nil {
				t.Fatalf("Begin of the first request = %v, %v, want a permission", attempt, err)
			}
			if _, err := second.Begin(t.Context(), "orders", key, 7); savorystep.KindOf(err) != savorystep.KindInProgress {
				t.Fatalf("Begin while the first request runs = %v, want kind InProgress", err)
			}
			if _, err := second.Begin(t.Context(), "orders", key, 8); savorystep.KindOf(err) != savorystep.KindKeyConflict {
				t.Fatalf("Begin with another fingerprint = %v, want kind KeyConflict", err)
			}
			response := savorystep.StoredResponse{Status: 201, Header: map[string][]string{"A": {"b"}}, Body: make([]byte, body)}
			if err := attempt.Complete(t.Context(), response); err != nil {
				t.Fatal(err)
			}
			again, err := second.Begin(t.Context(), "orders", key, 7)
			if err != nil || again.StoredResponse() == nil {
				t.Fatalf("Begin of the repeated request = %v, %v, want the stored response", again, err)
			}
			if got := again.StoredResponse(); got.Status != 201 || len(got.Body) != body || got.Header.Get("A") != "b" {
				t.Errorf("stored response has status %d, %d bytes, header %v", got.Status, len(got.Body), got.Header)
			}
		})
	}
}

// TestKeysRestoredThroughStandin guards against differences in the protocol of client
// and stand-in after a restore: a key whose row was lost does not run again.
func TestKeysRestoredThroughStandin(t *testing.T) {
	p, client := startStandin(t, standin.PlatformFaults{})
	config := store.IdempotencyStoreConfig{Table: client, Objects: client.Objects(), RestoreWindow: 6 * time.Second}
	first, second := store.NewIdempotencyStore(config), store.NewIdempotencyStore(config)
	startRunner(t, first)
	startRunner(t, second)
	if err := mustBegin(t, first, "a").Complete(t.Context(), savorystep.StoredResponse{Status: 201}); err != nil {
		t.Fatal(err)
	}
	p.SetFaults(standin.PlatformFaults{RestoreMillis: 60000})
	_, err := begin(t, second, "a", time.Second)
	wantKind(t, err, savorystep.KindInProgress)
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		again, err := begin(t, second, "a", time.Second)
		if err == nil {
			if again.StoredResponse() == nil || again.StoredResponse().Status != 201 {
				t.Fatalf("Begin of the repeated request = %v, want the stored response", again)
			}
			break
		}
		wantKind(t, err, savorystep.KindInProgress)
		if time.Now().After(deadline) {
			t.Fatal("no stored response within 20 s")
		}
	}
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		if _, err := begin(t, second, "b", time.Second); err == nil {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("no permission for a new key within 20 s")
		}
	}
}

// TestApplyThroughStandin guards against a change that does not come into force
// at other instances, running or new.
func TestApplyThroughStandin(t *testing.T) {
	_, client := startStandin(t, standin.PlatformFaults{})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	config := store.LogConfig{Table: client, PollInterval: 20 * time.Millisecond}
	first, second := store.NewLog(config), store.NewLog(config)
	startRunner(t, first)
	startRunner(t, second)
	change := savorystep.Change{ID: "a", Service: "stock", Author: "ana", Record: &savorystep.Record{
		Schema: 2, Service: "stock", Aliases: []savorystep.Name{"stok"},
	}}
	revision, err := first.Apply(ctx, change)
	if err != nil || revision != 1 {
		t.Fatalf("Apply = %d, %v, want revision 1", revision, err)
	}
	if err := second.Wait(ctx, 1); err != nil {
		t.Fatal(err)
	}
	third := store.NewLog(config)
	startRunner(t, third)
	if err := third.Wait(ctx, 1); err != nil {
		t.Fatal(err)
	}
	for _, l := range []*store.Log{first, second, third} {
		if got := l.View().ServicesByName["stok"]; got != "stock" || l.View().RecordRevisions["stock"] != 1 {
			t.Errorf("view %+v, want stok of stock at version 1", l.View())
		}
	}
}

// TestRegistration guards against members that are listed in the wrong state.
func TestRegistration(t *testing.T) {
	p, client := startStandin(t, standin.PlatformFaults{})
	state := func() savorystep.State {
		instances, err := client.Instances(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if len(instances) != 1 {
			t.Fatalf("%d instances listed, want 1", len(instances))
		}
		return instances[0].State
	}
	instance := savorystep.Instance{ID: "i1", State: savorystep.StateLive}
	if err := client.Register(t.Context(), instance); err != nil {
		t.Fatal(err)
	}
	if got := state(); got != savorystep.StateLive {
		t.Errorf("state %q after Register, want live", got)
	}
	instance.State = savorystep.StateLeaving
	if err := client.Register(t.Context(), instance); err != nil {
		t.Fatal(err)
	}
	if got := state(); got != savorystep.StateLeaving {
		t.Errorf("state %q after Register as leaving, want leaving", got)
	}
	p.SetFaults(standin.PlatformFaults{FreezeLists: true})
	client.Close()
	time.Sleep(50 * time.Millisecond)
	if got := state(); got != savorystep.StateLeaving {
		t.Errorf("state %q in a frozen list, want leaving", got)
	}
	p.SetFaults(standin.PlatformFaults{})
	deadline := time.Now().Add(5 * time.Second)
	for state() != savorystep.StateEnded {
		if time.Now().After(deadline) {
			t.Fatal("instance not listed as ended within 5 s of Close")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// TestRegisterEndpoint guards against an endpoint that is listed with other
// values than it was registered with.
func TestRegisterEndpoint(t *testing.T) {
	_, client := startStandin(t, standin.PlatformFaults{})
	endpoint := savorystep.Endpoint{
		ID: "e1", Service: "stock", Place: savorystep.Place{Region: "hobart", Zone: "hobart-a"},
		State: savorystep.StateLive, Address: "127.0.0.1:1", Slots: 3, MaxConnections: 390,
	}
	if err := client.RegisterEndpoint(t.Context(), endpoint); err != nil {
		t.Fatal(err)
	}
	endpoints, err := client.Endpoints(t.Context())
	if err != nil || len(endpoints) != 1 || endpoints[0] != endpoint {
		t.Errorf("Endpoints = %+v, %v, want only the registered endpoint", endpoints, err)
	}
}
