package endpoint_test

import (
	"testing"
	"time"

	"savorystep"
	"savorystep/endpoint"
)

// TestRecheck guards against a request that is still sent although its endpoint has said
// since the choice that it wants none, listed or not, and against one that is withdrawn
// because of another incarnation.
func TestRecheck(t *testing.T) {
	now := time.Unix(1000, 0)
	later := now.Add(time.Second)
	for _, test := range []struct {
		name   string
		change func(*endpoint.Table, endpoint.Choice)
		want   endpoint.Exclusion
	}{
		{name: "nothing", change: func(*endpoint.Table, endpoint.Choice) {}},
		{name: "leaving", want: endpoint.ExclusionLeaving, change: func(table *endpoint.Table, choice endpoint.Choice) {
			table.RecordLeaving(now, choice)
		}},
		{name: "leaving and removed", want: endpoint.ExclusionLeaving, change: func(table *endpoint.Table, choice endpoint.Choice) {
			table.Remove(now, "a")
			table.RecordLeaving(now, choice)
		}},
		{name: "an earlier incarnation leaves", change: func(table *endpoint.Table, _ endpoint.Choice) {
			table.ApplyLeaving(now, "a", 1)
		}},
		{name: "closed", want: endpoint.ExclusionClosed, change: func(table *endpoint.Table, choice endpoint.Choice) {
			table.RecordRetryAfter(now, choice, 2*time.Second)
		}},
		{name: "removed and closed", want: endpoint.ExclusionClosed, change: func(table *endpoint.Table, choice endpoint.Choice) {
			table.Remove(now, "a")
			table.RecordRetryAfter(now, choice, 2*time.Second)
		}},
		{name: "closed until now", change: func(table *endpoint.Table, choice endpoint.Choice) {
			table.RecordRetryAfter(now, choice, time.Second)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			table := endpoint.NewTable(endpoint.Config{Self: "self"})
			table.Put(now, savorystep.Endpoint{ID: "a", Service: "s", State: savorystep.StateLive, Slots: 3, StartedAtMillis: 2})
			choice, ok := table.Choose(now, endpoint.Query{Service: "s"})
			if !ok {
				t.Fatal("Choose returned no endpoint")
			}
			test.change(table, choice)
			if got := table.Recheck(later, choice); got != test.want {
				t.Errorf("Recheck = %v, want %v", got, test.want)
			}
		})
	}
}
