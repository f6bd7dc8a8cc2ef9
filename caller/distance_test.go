package caller_test

import (
	"slices"
	"strings"
	"testing"

	"savorystep"
	"savorystep/caller"
)

// TestSuggest guards against suggestions that are missing, far off or out of
// order.
func TestSuggest(t *testing.T) {
	config := &fakeConfig{}
	config.set(1,
		savorystep.Record{Service: "orders", Names: []savorystep.Name{"oders"}},
		savorystep.Record{Service: "patterns"},
		savorystep.Record{Service: "status", Names: []savorystep.Name{"statsu"}},
		savorystep.Record{Service: "stock"},
	)
	cases := []struct {
		name string
		sent savorystep.Name
		want []savorystep.Service
	}{
		{name: "far", sent: "quotations", want: []savorystep.Service{}},
		{name: "long", sent: savorystep.Name(strings.Repeat("a", 100)), want: nil},
		{name: "missing letter", sent: "patterns2", want: []savorystep.Service{"patterns"}},
		{name: "short", sent: "st", want: []savorystep.Service{}},
		{name: "swap", sent: "ordres", want: []savorystep.Service{"orders"}},
		{name: "through a misspelling", sent: "statsuu", want: []savorystep.Service{"status"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := caller.Suggest(c.sent, config.View()); !slices.Equal(got, c.want) {
				t.Errorf("Suggest(%q) = %v, want %v", c.sent, got, c.want)
			}
		})
	}
}
