package peer

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"

	"savorystep"
)

// chooseNeighbours returns the instances that self keeps connections to: all
// candidates if there are at most fullMeshLimit of them, else count of them. A
// quarter are in the same zone and a quarter in the same region, which saves
// traffic between regions. The others may be anywhere, so that instances of a
// lost zone or region are still monitored from outside. About as many other
// instances choose this one. The choice uses rendezvous hashing, so that it
// changes little when instances join or leave.
func chooseNeighbours(self savorystep.Instance, candidates []savorystep.Instance, fullMeshLimit, count int) []savorystep.Instance {
	if len(candidates) <= fullMeshLimit {
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
	picked := make(map[savorystep.InstanceID]bool, count)
	pick := func(count int, matches func(savorystep.Place) bool) {
		for _, r := range ranking {
			if count == 0 {
				return
			}
			if !picked[r.instance.ID] && matches(r.instance.Place) {
				picked[r.instance.ID] = true
				chosen = append(chosen, r.instance)
				count--
			}
		}
	}
	pick(count/4, func(p savorystep.Place) bool { return p == self.Place })
	pick(count/4, func(p savorystep.Place) bool { return p.Region == self.Place.Region })
	pick(count-len(chosen), func(savorystep.Place) bool { return true })
	return chosen
}

// localityWeight returns the relative probability with which a peer is chosen
// in a gossip round. Closer peers have a greater weight.
func localityWeight(self, other savorystep.Place) int {
	const (
		sameZone    = 4
		sameRegion  = 2
		otherRegion = 1
	)
	switch {
	case self == other:
		return sameZone
	case self.Region == other.Region:
		return sameRegion
	default:
		return otherRegion
	}
}
