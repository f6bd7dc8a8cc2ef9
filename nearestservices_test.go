package savorystep_test

import (
	"slices"
	"strings"
	"testing"

	"savorystep"
)

// TestEditDistance guards against a distance that counts a transposition of adjacent
// runes as two edits, counts bytes instead of runes or is not symmetric.
func TestEditDistance(t *testing.T) {
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
			t.Errorf("EditDistance(%q, %q) = %d, want %d", test.a, test.b, got, test.want)
		}
	}
}

// TestNearestServices guards against suggestions that are missing, unrelated to the
// name or out of order.
func TestNearestServices(t *testing.T) {
	view := &savorystep.View{ServicesByName: map[savorystep.Name]savorystep.Service{
		"oders":    "orders",
		"orders":   "orders",
		"patterns": "patterns",
		"statsu":   "status",
		"status":   "status",
		"stock":    "stock",
	}}
	cases := []struct {
		name    string
		unknown savorystep.Name
		want    []savorystep.Service
	}{
		{name: "far", unknown: "quotations", want: []savorystep.Service{}},
		{name: "long", unknown: savorystep.Name(strings.Repeat("a", 100)), want: nil},
		{name: "missing letter", unknown: "patterns2", want: []savorystep.Service{"patterns"}},
		{name: "short", unknown: "st", want: []savorystep.Service{}},
		{name: "swap", unknown: "ordres", want: []savorystep.Service{"orders"}},
		{name: "through a misspelling", unknown: "statsuu", want: []savorystep.Service{"status"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := savorystep.NearestServices(c.unknown, view); !slices.Equal(got, c.want) {
				t.Errorf("NearestServices(%q) = %v, want %v", c.unknown, got, c.want)
			}
		})
	}
}
