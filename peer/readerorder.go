package peer

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"savorystep"
)

// readers returns the addresses of the readers to query: the first instances of
// the reader order that precede this one.
func (r *CatalogRelay) readers() []savorystep.Address {
	order, position := r.readerOrder(r.config.Clock.Now())
	return order[:min(position, maxReaders)]
}

// nextReader returns the instance after this one in the reader order if this
// one is the first, "" otherwise. It reads the store while the store rejects the
// first one.
func (r *CatalogRelay) nextReader() savorystep.Address {
	order, position := r.readerOrder(r.config.Clock.Now())
	if position > 0 || len(order) == 0 {
		return ""
	}
	return order[0]
}

// readerOrder returns the addresses of the other ready instances of the region,
// ordered by the hash of their IDs, and the position of this instance among
// them. All instances compute the same order from the same members. During the
// first start of the system, instances that are not known to be ready are
// included.
func (r *CatalogRelay) readerOrder(now time.Time) (addresses []savorystep.Address, position int) {
	type ranked struct {
		address savorystep.Address
		hash    uint64
	}
	self := r.config.Members.Self()
	selfHash := xxh3.HashString(string(self.ID))
	isFirstStart := r.config.FirstStart && now.Sub(r.startedAt) < firstStartWindow
	var others []ranked
	for _, m := range r.config.Members.Members(now) {
		if m.Instance.Place.Region != self.Place.Region || m.Instance.ID == self.ID || m.Leaving {
			continue
		}
		if !m.Ready && !isFirstStart {
			continue
		}
		hash := xxh3.HashString(string(m.Instance.ID))
		others = append(others, ranked{address: m.Instance.PeerAddress, hash: hash})
		if hash < selfHash {
			position++
		}
	}
	slices.SortFunc(others, func(a, b ranked) int { return cmp.Compare(a.hash, b.hash) })
	addresses = make([]savorystep.Address, len(others))
	for i, o := range others {
		addresses[i] = o.address
	}
	return addresses, position
}
