package savorystep

import (
	"cmp"
	"slices"
	"strings"
)

// maxSuggestions is how many services are suggested for an unknown name.
const maxSuggestions = 3

// maxNearestNameBytes bounds the names that suggestions are made for, in bytes, since a
// caller chooses the name.
const maxNearestNameBytes = 64

// EditDistance returns the optimal string alignment distance of two texts: the
// least number of insertions, deletions, substitutions and transpositions of
// neighbours that turn a into b, where no part is edited twice.
func EditDistance(a, b string) int {
	x, y := []rune(a), []rune(b)
	before, last, row := make([]int, len(y)+1), make([]int, len(y)+1), make([]int, len(y)+1)
	for j := range last {
		last[j] = j
	}
	for i := 1; i <= len(x); i++ {
		row[0] = i
		for j := 1; j <= len(y); j++ {
			cost := 1
			if x[i-1] == y[j-1] {
				cost = 0
			}
			row[j] = min(last[j]+1, row[j-1]+1, last[j-1]+cost)
			if i > 1 && j > 1 && x[i-1] == y[j-2] && x[i-2] == y[j-1] {
				row[j] = min(row[j], before[j-2]+1)
			}
		}
		before, last, row = last, row, before
	}
	return last[len(y)]
}

// NearestServices returns the services whose names are near an unknown one, the
// nearest first. A service counts with its nearest known name; upper and lower
// case are the same.
func NearestServices(name Name, view *View) []Service {
	if len(name) > maxNearestNameBytes {
		return nil
	}
	best := map[Service]int{}
	for known, service := range view.ServicesByName {
		d := EditDistance(strings.ToLower(string(name)), strings.ToLower(string(known)))
		// A third of the letters may differ; more has nothing to do with a
		// misspelling.
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
