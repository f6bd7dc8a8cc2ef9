package caller_test

import (
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"testing"

	"pgregory.net/rapid"

	"savorystep"
	"savorystep/caller"
)

// findNaive returns the block with the longest prefix that contains addr, the last one
// of blocks with equal prefixes, by a linear search.
func findNaive(blocks []savorystep.Block, addr netip.Addr) (savorystep.Block, bool) {
	var best savorystep.Block
	found := false
	for _, block := range blocks {
		if block.Prefix.Contains(addr) && (!found || block.Prefix.Bits() >= best.Prefix.Bits()) {
			best = block
			found = true
		}
	}
	return best, found
}

// TestBlockTableFind guards against callers assigned to the wrong block where prefixes
// are nested, adjacent or extend to the end of the address space. It compares the table
// with a linear search.
func TestBlockTableFind(t *testing.T) {
	regions := []savorystep.Region{"burnie", "hobart", "launceston"}
	rapid.Check(t, func(t *rapid.T) {
		isV6 := rapid.Bool().Draw(t, "isV6")
		draw := func(label string) netip.Addr {
			// Few distinct byte values, so that prefixes nest and touch often.
			high := rapid.SampledFrom([]byte{0, 1, 127, 128, 255}).Draw(t, label+" high")
			low := rapid.SampledFrom([]byte{0, 1, 128, 255}).Draw(t, label+" low")
			if !isV6 {
				return netip.AddrFrom4([4]byte{high, low, high, low})
			}
			var bytes [16]byte
			for i := range bytes {
				bytes[i] = []byte{high, low}[i%2]
			}
			bytes[0] |= 0x20
			return netip.AddrFrom16(bytes)
		}
		var blocks []savorystep.Block
		for range rapid.IntRange(0, 12).Draw(t, "count") {
			addr := draw("prefix")
			bits := rapid.IntRange(0, addr.BitLen()).Draw(t, "bits")
			prefix, err := addr.Prefix(bits)
			if err != nil {
				t.Fatal(err)
			}
			blocks = append(blocks, savorystep.Block{Prefix: prefix, Home: rapid.SampledFrom(regions).Draw(t, "home")})
		}
		table := caller.NewBlockTable(blocks)
		addr := draw("addr")
		id, home, ok := table.Find(addr)
		want, found := findNaive(blocks, addr)
		if ok != found {
			t.Fatalf("Find(%s) ok = %v, want %v", addr, ok, found)
		}
		if found && (home != want.Home || id != caller.HashBlock(want.Prefix)) {
			t.Fatalf("Find(%s) = %d %s, want %s %s", addr, id, home, want.Prefix, want.Home)
		}
	})
}

// manyBlocks returns n distinct /24 and /22 blocks with random home regions out of ten.
func manyBlocks(n int) []savorystep.Block {
	regions := []savorystep.Region{"r0", "r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8", "r9"}
	random := rand.New(rand.NewPCG(1, 2))
	blocks := make([]savorystep.Block, 0, n)
	for i := range n {
		var bytes [4]byte
		binary.BigEndian.PutUint32(bytes[:], uint32(i)<<12|uint32(random.IntN(4))<<10)
		prefix, err := netip.AddrFrom4(bytes).Prefix(22 + 2*random.IntN(2))
		if err != nil {
			panic(err)
		}
		blocks = append(blocks, savorystep.Block{Prefix: prefix, Home: regions[random.IntN(len(regions))]})
	}
	return blocks
}

// TestBlockTableStableID guards against block IDs that change when other blocks are added
// or removed, which would move callers between regions.
func TestBlockTableStableID(t *testing.T) {
	blocks := manyBlocks(1000)
	allBlocks := caller.NewBlockTable(blocks)
	firstHalf := caller.NewBlockTable(blocks[:500])
	for _, block := range blocks[:500] {
		a, _, _ := allBlocks.Find(block.Prefix.Addr())
		b, _, _ := firstHalf.Find(block.Prefix.Addr())
		if a != b {
			t.Fatalf("block %s has ID %d among 1000 blocks and %d among 500", block.Prefix, a, b)
		}
	}
}

// BenchmarkBlockTableFind measures Find in a table of 530,000 blocks.
func BenchmarkBlockTableFind(b *testing.B) {
	blocks := manyBlocks(530000)
	table := caller.NewBlockTable(blocks)
	random := rand.New(rand.NewPCG(3, 4))
	addrs := make([]netip.Addr, 4096)
	for i := range addrs {
		addrs[i] = blocks[random.IntN(len(blocks))].Prefix.Addr()
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		table.Find(addrs[i&4095])
		i++
	}
}
