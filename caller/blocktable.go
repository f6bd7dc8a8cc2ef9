package caller

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/zeebo/xxh3"

	"savorystep"
)

// A BlockTable maps IP addresses to blocks of clients. It is immutable. Nested prefixes
// are flattened into disjoint ranges, so that Find is one binary search in a compact
// array.
type BlockTable struct {
	regions []savorystep.Region
	v4      rangeTable[uint32]
	v6      rangeTable[v6Key]
	// v4Index holds, for each value of the upper v4IndexBits of an IPv4 address, the
	// index of the first range in v4 that starts at or after that value. It shortens
	// the binary search among 530,000 blocks from 19 steps to a few.
	v4Index []int32
}

// v4IndexBits is the number of upper bits of an IPv4 address that index v4Index.
const v4IndexBits = 16

// A rangeTable holds disjoint ranges of keys in ascending order. Range i extends from
// starts[i] to the next start, or to the end of the key space, and belongs to the block
// with blockIDs[i] and homeIndexes[i]. Gaps between blocks are ranges with the home
// index -1.
type rangeTable[K any] struct {
	starts      []K
	blockIDs    []savorystep.BlockID
	homeIndexes []int16
}

// A blockRef refers to a block and its home region.
type blockRef struct {
	blockID savorystep.BlockID
	// homeIndex is an index into BlockTable.regions, or -1 for no block.
	homeIndex int16
}

// A v6Key is an IPv6 address as two integers.
type v6Key struct {
	high, low uint64
}

// NewBlockTable returns a table of the given blocks. If two blocks have the same prefix,
// the later one is used.
func NewBlockTable(blocks []savorystep.Block) *BlockTable {
	table := &BlockTable{}
	homeIndexes := make(map[savorystep.Region]int16)
	var v4Spans []span[uint32]
	var v6Spans []span[v6Key]
	for _, block := range blocks {
		homeIndex, ok := homeIndexes[block.Home]
		if !ok {
			homeIndex = int16(len(table.regions))
			homeIndexes[block.Home] = homeIndex
			table.regions = append(table.regions, block.Home)
		}
		ref := blockRef{blockID: HashBlock(block.Prefix), homeIndex: homeIndex}
		prefix := block.Prefix.Masked()
		if prefix.Addr().Is4() {
			v4Spans = append(v4Spans, newV4Span(prefix, ref))
		} else {
			v6Spans = append(v6Spans, newV6Span(prefix, ref))
		}
	}
	table.v4 = flatten(v4Spans, cmp.Compare[uint32])
	table.v6 = flatten(v6Spans, compareV6)
	table.v4Index = newV4Index(table.v4.starts)
	return table
}

// newV4Index returns the v4Index of ranges with the given starts. Its last element, one
// more than there are values of the upper bits, is the number of starts.
func newV4Index(starts []uint32) []int32 {
	index := make([]int32, 1<<v4IndexBits+1)
	nextStart := 0
	for upperBits := range 1 << v4IndexBits {
		for nextStart < len(starts) && starts[nextStart] < uint32(upperBits)<<(32-v4IndexBits) {
			nextStart++
		}
		index[upperBits] = int32(nextStart)
	}
	index[1<<v4IndexBits] = int32(len(starts))
	return index
}

// Find returns the ID and the home region of the block with the longest prefix that
// contains addr. For an address outside of all blocks, ok is false and id is the hash of
// its /24 or /48 network.
func (t *BlockTable) Find(addr netip.Addr) (id savorystep.BlockID, home savorystep.Region, ok bool) {
	addr = addr.Unmap()
	ref := blockRef{homeIndex: -1}
	if addr.Is4() {
		key := toV4Key(addr)
		upperBits := key >> (32 - v4IndexBits)
		ref = t.v4.find(key, int(t.v4Index[upperBits]), int(t.v4Index[upperBits+1]), cmp.Compare[uint32])
	} else if addr.Is6() {
		ref = t.v6.find(toV6Key(addr), 0, len(t.v6.starts), compareV6)
	}
	if ref.homeIndex < 0 {
		return hashUnlistedNetwork(addr), "", false
	}
	return ref.blockID, t.regions[ref.homeIndex], true
}

// Len returns the number of ranges, including gaps between blocks.
func (t *BlockTable) Len() int {
	return len(t.v4.starts) + len(t.v6.starts)
}

// find returns the block of the range that contains key, by binary search. The last
// start that is not greater than key must be in starts[low-1:high].
func (r *rangeTable[K]) find(key K, low, high int, compare func(a, b K) int) blockRef {
	for low < high {
		middle := int(uint(low+high) >> 1)
		if compare(r.starts[middle], key) <= 0 {
			low = middle + 1
		} else {
			high = middle
		}
	}
	if low == 0 {
		return blockRef{homeIndex: -1}
	}
	return blockRef{blockID: r.blockIDs[low-1], homeIndex: r.homeIndexes[low-1]}
}

// A span is the range of keys of a prefix, from start to before end. If reachesEnd is
// true, it extends to the end of the key space and end is not used.
type span[K any] struct {
	start, end K
	reachesEnd bool
	prefixBits int
	ref        blockRef
}

// flatten converts nested spans into disjoint ranges. Where spans overlap, the one with
// the longest prefix is used.
func flatten[K any](spans []span[K], compare func(a, b K) int) rangeTable[K] {
	slices.SortStableFunc(spans, func(a, b span[K]) int {
		if c := compare(a.start, b.start); c != 0 {
			return c
		}
		return a.prefixBits - b.prefixBits
	})
	table := rangeTable[K]{
		starts:      make([]K, 0, len(spans)),
		blockIDs:    make([]savorystep.BlockID, 0, len(spans)),
		homeIndexes: make([]int16, 0, len(spans)),
	}
	var open []span[K]
	for _, s := range spans {
		open = table.endSpansBefore(open, s.start, compare)
		table.startRange(s.start, s.ref, compare)
		open = append(open, s)
	}
	table.endAllSpans(open, compare)
	// Copy the slices to release their unused capacity.
	table.starts = append([]K(nil), table.starts...)
	table.blockIDs = append([]savorystep.BlockID(nil), table.blockIDs...)
	table.homeIndexes = append([]int16(nil), table.homeIndexes...)
	return table
}

// endSpansBefore ends the open spans whose end is not after start, and returns those
// that stay open. The last element of open is the innermost span.
func (r *rangeTable[K]) endSpansBefore(open []span[K], start K, compare func(a, b K) int) []span[K] {
	for len(open) > 0 {
		innermost := open[len(open)-1]
		if innermost.reachesEnd || compare(innermost.end, start) > 0 {
			return open
		}
		open = open[:len(open)-1]
		r.startRange(innermost.end, innermostBlock(open), compare)
	}
	return open
}

// endAllSpans ends all open spans, innermost first.
func (r *rangeTable[K]) endAllSpans(open []span[K], compare func(a, b K) int) {
	for len(open) > 0 {
		innermost := open[len(open)-1]
		open = open[:len(open)-1]
		if !innermost.reachesEnd {
			r.startRange(innermost.end, innermostBlock(open), compare)
		}
	}
}

// innermostBlock returns the block of the innermost open span, or the blockRef for no
// block.
func innermostBlock[K any](open []span[K]) blockRef {
	if len(open) == 0 {
		return blockRef{homeIndex: -1}
	}
	return open[len(open)-1].ref
}

// startRange appends a range that starts at start. It replaces the last range if that has
// the same start.
func (r *rangeTable[K]) startRange(start K, ref blockRef, compare func(a, b K) int) {
	if n := len(r.starts); n > 0 && compare(r.starts[n-1], start) == 0 {
		r.blockIDs[n-1] = ref.blockID
		r.homeIndexes[n-1] = ref.homeIndex
		return
	}
	r.starts = append(r.starts, start)
	r.blockIDs = append(r.blockIDs, ref.blockID)
	r.homeIndexes = append(r.homeIndexes, ref.homeIndex)
}

// newV4Span returns the span of the IPv4 prefix of block ref.
func newV4Span(prefix netip.Prefix, ref blockRef) span[uint32] {
	start := toV4Key(prefix.Addr())
	size := uint64(1) << (32 - prefix.Bits())
	end := uint64(start) + size
	return span[uint32]{start: start, end: uint32(end), reachesEnd: end > 1<<32-1, prefixBits: prefix.Bits(), ref: ref}
}

// newV6Span returns the span of the IPv6 prefix of block ref.
func newV6Span(prefix netip.Prefix, ref blockRef) span[v6Key] {
	start := toV6Key(prefix.Addr())
	end := start
	prefixBits := prefix.Bits()
	reachesEnd := false
	switch {
	case prefixBits == 0:
		reachesEnd = true
	case prefixBits > 64:
		end.low += uint64(1) << (128 - prefixBits)
		if end.low == 0 {
			end.high++
			reachesEnd = end.high == 0
		}
	default:
		end.high += uint64(1) << (64 - prefixBits)
		reachesEnd = end.high == 0
	}
	return span[v6Key]{start: start, end: end, reachesEnd: reachesEnd, prefixBits: prefixBits, ref: ref}
}

// toV4Key converts an IPv4 address to a key.
func toV4Key(addr netip.Addr) uint32 {
	bytes := addr.As4()
	return binary.BigEndian.Uint32(bytes[:])
}

// toV6Key converts an IPv6 address to a key.
func toV6Key(addr netip.Addr) v6Key {
	bytes := addr.As16()
	return v6Key{high: binary.BigEndian.Uint64(bytes[:8]), low: binary.BigEndian.Uint64(bytes[8:])}
}

// compareV6 returns -1, 0 or 1 if a is less than, equal to or greater than b.
func compareV6(a, b v6Key) int {
	if c := cmp.Compare(a.high, b.high); c != 0 {
		return c
	}
	return cmp.Compare(a.low, b.low)
}

// HashBlock returns the ID of the block with the given prefix.
func HashBlock(prefix netip.Prefix) savorystep.BlockID {
	bytes := prefix.Masked().Addr().As16()
	var key [17]byte
	copy(key[:], bytes[:])
	key[16] = byte(prefix.Bits())
	return savorystep.BlockID(xxh3.Hash(key[:]))
}

// hashUnlistedNetwork returns the ID for an address outside of all blocks: the hash of its
// /24 network for IPv4, of its /48 network for IPv6.
func hashUnlistedNetwork(addr netip.Addr) savorystep.BlockID {
	bits := 48
	if addr.Is4() {
		bits = 24
	}
	prefix, err := addr.Prefix(bits)
	if err != nil {
		return 0
	}
	return HashBlock(prefix)
}
