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

// findNaive returns the longest prefix that holds addr; of equal prefixes the
// last one.
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

// TestBlockTableFind guards against a caller in the wrong block where prefixes
// nest, touch or reach the end of the number space.
func TestBlockTableFind(t *testing.T) {
	regions := []savorystep.Region{"burnie", "hobart", "launceston"}
	rapid.Check(t, func(t *rapid.T) {
		six := rapid.Bool().Draw(t, "six")
		draw := func(label string) netip.Addr {
			// Few distinct leading bytes, so that prefixes meet.
			high := rapid.SampledFrom([]byte{0, 1, 127, 128, 255}).Draw(t, label+" high")
			low := rapid.SampledFrom([]byte{0, 1, 128, 255}).Draw(t, label+" low")
			if !six {
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

// manyBlocks returns n distinct /24 and /22 blocks over ten regions.
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

// TestBlockTableStableID guards against IDs that change when other blocks come
// and go, which would move callers between regions.
func TestBlockTableStableID(t *testing.T) {
	blocks := manyBlocks(1000)
	whole := caller.NewBlockTable(blocks)
	half := caller.NewBlockTable(blocks[:500])
	for _, block := range blocks[:500] {
		a, _, _ := whole.Find(block.Prefix.Addr())
		b, _, _ := half.Find(block.Prefix.Addr())
		if a != b {
			t.Fatalf("block %s has ID %d and %d", block.Prefix, a, b)
		}
	}
}

// BenchmarkBlockTableFind measures a find among 530,000 blocks.
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
