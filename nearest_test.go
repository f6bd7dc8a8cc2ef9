package savorystep_test

import (
	"slices"
	"strings"
	"testing"

	"savorystep"
)

// TestDistance guards against a distance that counts a swap of neighbours as
// two edits, or counts bytes instead of letters.
func TestDistance(t *testing.T) {
	for _, test := range []struct {
		a, b string
		want int
	}{
		{"", "", 0},
		{"", "orders", 6},
		{"ca", "abc", 3},
		{"orders", "ordres", 1},
		{"orders", "orders", 0},
		{"renewal", "renewals", 1},
		{"stätus", "status", 1},
		{"stauts", "status", 1},
	} {
		if got := savorystep.EditDistance(test.a, test.b); got != test.want || savorystep.EditDistance(test.b, test.a) != test.want {
			t.Errorf("Distance(%q, %q) = %d, want %d", test.a, test.b, got, test.want)
		}
	}
}

// TestNearest guards against suggestions that are missing, far off or out of
// order.
func TestNearest(t *testing.T) {
	view := &savorystep.View{ServicesByName: map[savorystep.Name]savorystep.Service{
		"oders":    "orders",
		"orders":   "orders",
		"patterns": "patterns",
		"statsu":   "status",
		"status":   "status",
		"stock":    "stock",
	}}
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
			if got := savorystep.NearestServices(c.sent, view); !slices.Equal(got, c.want) {
				t.Errorf("Nearest(%q) = %v, want %v", c.sent, got, c.want)
			}
		})
	}
}
