package cmd

import (
	"fmt"
	"slices"
	"sync"
	"testing"

	"savorystep"
	"savorystep/operator"
)

// TestOperatorsRace guards against a lost change: of two operators who replace
// the same version one wins and the other is told the current version;
// corrections by many operators at once are all kept.
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
				t.Errorf("conflict %q, want %q", err, want)
			}
		default:
			t.Errorf("apply: %v", err)
		}
	}
	if succeeded != 1 {
		t.Errorf("%d of %d won", succeeded, len(clients))
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
			t.Errorf("correction %d: %v, names %v", i, err, aliases)
		}
	}
}

// runConcurrently calls a function n times at once.
func runConcurrently(n int, f func(int) error) []error {
	errs := make([]error, n)
	var group sync.WaitGroup
	for i := range n {
		group.Go(func() { errs[i] = f(i) })
	}
	group.Wait()
	return errs
}
