package peer

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"

	"savorystep"
)

// chooseNeighbours returns the instances that self keeps connections to. If
// there are at most mesh candidates it returns all. Otherwise it chooses count
// of them: a quarter in the same zone and a quarter in the same region, which
// keeps bytes off the links between regions, and the others anywhere, so that
// the loss of a zone or region leaves each lost instance with monitors. About
// as many others choose this instance. The choice is by rendezvous hashing, so
// it changes little when others come and go.
func chooseNeighbours(self savorystep.Instance, candidates []savorystep.Instance, mesh, count int) []savorystep.Instance {
	if len(candidates) <= mesh {
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
	chosen := make([]savorystep.Instance, 0, count)
	taken := make(map[savorystep.InstanceID]bool, count)
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
	take(count/4, func(p savorystep.Place) bool { return p == self.Place })
	take(count/4, func(p savorystep.Place) bool { return p.Region == self.Place.Region })
	take(count-len(chosen), func(savorystep.Place) bool { return true })
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
