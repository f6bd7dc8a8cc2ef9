package cmd

import (
	"fmt"
	"slices"
	"sync"
	"testing"

	"savorystep"
	"savorystep/operator"
)

// TestOperatorsRace guards against lost changes. When several operators replace
// the same version at once, one succeeds and the others get a version conflict
// with the current version. Concurrent corrections are all kept.
func TestOperatorsRace(t *testing.T) {
	s := newFakeSystem(t)
	var clients []*operator.Client
	for _, server := range s.servers {
		clients = append(clients, operator.NewClient(operator.ClientConfig{Servers: []string{server.URL}, Token: testToken}))
	}
	record := func(weight int) *savorystep.Record {
		return &savorystep.Record{Schema: 1, Service: "orders", Shares: []savorystep.Share{{Region: "hobart", Weight: weight}}}
	}
	apply := func(client *operator.Client, weight int) error {
		_, err := client.Apply(t.Context(), operator.ApplyRequest{ChangeInfo: operator.ChangeInfo{ID: operator.NewChangeID()}, Record: record(weight)})
		return err
	}
	errs := runConcurrently(len(clients), func(i int) error { return apply(clients[i], i+1) })
	succeeded := 0
	for _, err := range errs {
		switch savorystep.KindOf(err) {
		case savorystep.KindNone:
			succeeded++
		case savorystep.KindVersionConflict:
			if want := "VersionConflict: record orders is at version 1, not 0"; err.Error() != want {
				t.Errorf("got conflict %q, want %q", err, want)
			}
		default:
			t.Errorf("apply: got %v, want success or a version conflict", err)
		}
	}
	if succeeded != 1 {
		t.Errorf("%d of %d concurrent changes succeeded, want 1", succeeded, len(clients))
	}
	const corrections = 4
	errs = runConcurrently(corrections, func(i int) error {
		_, err := clients[i%len(clients)].Correct(t.Context(), operator.CorrectRequest{
			ChangeInfo: operator.ChangeInfo{ID: operator.NewChangeID()}, Service: "orders", Name: savorystep.Name(fmt.Sprint("name", i)),
		})
		return err
	})
	aliases := s.config.View().Records["orders"].Aliases
	for i, err := range errs {
		if err != nil || !slices.Contains(aliases, savorystep.Name(fmt.Sprint("name", i))) {
			t.Errorf("correction %d: got error %v and names %v, want the name of the correction among them", i, err, aliases)
		}
	}
}

// runConcurrently calls f(0) to f(n-1) concurrently and returns their errors.
func runConcurrently(n int, f func(int) error) []error {
	errs := make([]error, n)
	var group sync.WaitGroup
	for i := range n {
		group.Go(func() { errs[i] = f(i) })
	}
	group.Wait()
	return errs
}
