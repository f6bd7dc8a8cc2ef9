package caller

import (
	"slices"

	"savorystep"
)

const (
	// maxSuggestions is the most services suggested for an unknown name.
	maxSuggestions = 3
	// maxDistance is the greatest edit distance of a suggestion.
	maxDistance = 3
	// maxNameLength bounds the names that suggestions are made for, in bytes.
	maxNameLength = 64
)

// Suggest returns the services with a name near the given one, nearest first.
func Suggest(name savorystep.Name, view *savorystep.View) []savorystep.Service {
	if len(name) > maxNameLength {
		return nil
	}
	best := make(map[savorystep.Service]int)
	for known, service := range view.Services {
		distance := editDistance(string(name), string(known))
		if distance > maxDistance || distance >= len(name) {
			continue
		}
		if old, ok := best[service]; !ok || distance < old {
			best[service] = distance
		}
	}
	services := make([]savorystep.Service, 0, len(best))
	for service := range best {
		services = append(services, service)
	}
	slices.SortFunc(services, func(a, b savorystep.Service) int {
		if best[a] != best[b] {
			return best[a] - best[b]
		}
		if a < b {
			return -1
		}
		return 1
	})
	return services[:min(len(services), maxSuggestions)]
}

// editDistance counts the insertions, deletions, substitutions and swaps of
// neighbours that turn a into b.
func editDistance(a, b string) int {
	if abs(len(a)-len(b)) > maxDistance {
		return maxDistance + 1
	}
	before := make([]int, len(b)+1)
	last := make([]int, len(b)+1)
	row := make([]int, len(b)+1)
	for j := range last {
		last[j] = j
	}
	for i := 1; i <= len(a); i++ {
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			row[j] = min(row[j-1]+1, last[j]+1, last[j-1]+cost)
			if i > 1 && j > 1 && a[i-1] == b[j-2] && a[i-2] == b[j-1] {
				row[j] = min(row[j], before[j-2]+1)
			}
		}
		before, last, row = last, row, before
	}
	return last[len(b)]
}

// abs returns the absolute value of n.
func abs(n int) int {
	if n < 0 {
		return -n
	}
	return n
}
