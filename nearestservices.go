package savorystep

import (
	"cmp"
	"slices"
	"strings"
)

// maxSuggestions is the maximum number of services suggested for an unknown name.
const maxSuggestions = 3

// maxNearestNameBytes is the maximum length of an unknown name that gets
// suggestions. Callers choose the name, and the cost of the edit distance grows
// with its length.
const maxNearestNameBytes = 64

// EditDistance returns the optimal string alignment distance of two strings in
// runes: the minimum number of insertions, deletions, substitutions and
// transpositions of adjacent runes that turn a into b, where no substring is edited
// more than once.
func EditDistance(a, b string) int {
	x, y := []rune(a), []rune(b)
	previous2, previous, row := make([]int, len(y)+1), make([]int, len(y)+1), make([]int, len(y)+1)
	for j := range previous {
		previous[j] = j
	}
	for i := 1; i <= len(x); i++ {
		row[0] = i
		for j := 1; j <= len(y); j++ {
			cost := 1
			if x[i-1] == y[j-1] {
				cost = 0
			}
			row[j] = min(previous[j]+1, row[j-1]+1, previous[j-1]+cost)
			if i > 1 && j > 1 && x[i-1] == y[j-2] && x[i-2] == y[j-1] {
				row[j] = min(row[j], previous2[j-2]+1)
			}
		}
		previous2, previous, row = previous, row, previous2
	}
	return previous[len(y)]
}

// NearestServices returns up to three services whose names resemble an unknown
// name, ordered by edit distance and then by name. The distance to a service is that
// to the closest of its names, ignoring case. Names of more than 64 bytes get no
// suggestions.
func NearestServices(name Name, view *View) []Service {
	if len(name) > maxNearestNameBytes {
		return nil
	}
	best := map[Service]int{}
	for known, service := range view.ServicesByName {
		d := EditDistance(strings.ToLower(string(name)), strings.ToLower(string(known)))
		// Up to a third of the letters may differ, but at least two. A name with
		// more differences is unlikely to be a misspelling.
		if d > max(2, len([]rune(string(name)))/3) || d >= len([]rune(string(known))) {
			continue
		}
		if old, ok := best[service]; !ok || d < old {
			best[service] = d
		}
	}
	services := make([]Service, 0, len(best))
	for service := range best {
		services = append(services, service)
	}
	slices.SortFunc(services, func(a, b Service) int {
		return cmp.Or(cmp.Compare(best[a], best[b]), cmp.Compare(a, b))
	})
	return services[:min(len(services), maxSuggestions)]
}
