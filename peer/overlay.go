package peer

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"

	"savorystep"
)

// The numbers of neighbours that an instance chooses when the fleet is too
// large to connect to all: some near ones, which keeps bytes off the links
// between regions, and enough distant ones that the loss of a zone or region
// leaves each lost instance with monitors. As many again choose this one.
const (
	zoneNeighbours   = 2
	regionNeighbours = 2
	farNeighbours    = 4
	neighbours       = zoneNeighbours + regionNeighbours + farNeighbours
)

// chooseNeighbours returns the instances that self keeps connections to, at
// most limit of them. If all candidates fit it returns all. Otherwise the
// choice is by rendezvous hashing, so it changes little when others come and
// go.
func chooseNeighbours(self savorystep.Instance, candidates []savorystep.Instance, limit int) []savorystep.Instance {
	if len(candidates) <= limit {
		return candidates
	}
	type ranked struct {
		instance savorystep.Instance
		score    uint64
	}
	ranking := make([]ranked, 0, len(candidates))
	for _, candidate := range candidates {
		score := xxh3.HashString(string(self.ID) + "\x00" + string(candidate.ID))
		ranking = append(ranking, ranked{instance: candidate, score: score})
	}
	slices.SortFunc(ranking, func(a, b ranked) int {
		return cmp.Compare(b.score, a.score)
	})
	chosen := make([]savorystep.Instance, 0, neighbours)
	taken := make(map[savorystep.InstanceID]bool, neighbours)
	take := func(count int, fits func(savorystep.Place) bool) {
		for _, r := range ranking {
			if count == 0 {
				return
			}
			if !taken[r.instance.ID] && fits(r.instance.Place) {
				taken[r.instance.ID] = true
				chosen = append(chosen, r.instance)
				count--
			}
		}
	}
	take(zoneNeighbours, func(p savorystep.Place) bool { return p == self.Place })
	take(regionNeighbours, func(p savorystep.Place) bool { return p.Region == self.Place.Region })
	take(min(limit, neighbours)-len(chosen), func(savorystep.Place) bool { return true })
	return chosen
}

// nearness returns the weight with which a peer is chosen in a round.
func nearness(self, other savorystep.Place) int {
	const (
		sameZone   = 4
		sameRegion = 2
		elsewhere  = 1
	)
	switch {
	case self == other:
		return sameZone
	case self.Region == other.Region:
		return sameRegion
	default:
		return elsewhere
	}
}
