package cmd

import (
	"net/netip"

	"savorystep"
	"savorystep/standin"
)

// blocksPerRegion is how many blocks of clients a region of a site has.
const blocksPerRegion = 64

// siteClientAddress returns the IP number of the client with the given number in a
// region. Clients with different numbers are in different blocks.
func siteClientAddress(shape standin.Shape, region savorystep.Region, client int) netip.Addr {
	for i, known := range shape.Regions {
		if known == region {
			return netip.AddrFrom4([4]byte{10, byte(i + 1), byte(client % blocksPerRegion), 1})
		}
	}
	return netip.Addr{}
}

// siteBlocks returns the blocks of a site, a /24 each.
func siteBlocks(shape standin.Shape) []savorystep.Block {
	blocks := make([]savorystep.Block, 0, blocksPerRegion*len(shape.Regions))
	for _, region := range shape.Regions {
		for client := range blocksPerRegion {
			prefix := netip.PrefixFrom(siteClientAddress(shape, region, client), 24).Masked()
			blocks = append(blocks, savorystep.Block{Prefix: prefix, Home: region})
		}
	}
	return blocks
}

// siteCallerRegion returns the region that a caller calls from, by its number or the
// region's name.
func siteCallerRegion(shape standin.Shape, from string) savorystep.Region {
	addr, err := netip.ParseAddr(from)
	if err != nil || !addr.Is4() {
		return savorystep.Region(from)
	}
	index := int(addr.As4()[1]) - 1
	if index < 0 || index >= len(shape.Regions) {
		return ""
	}
	return shape.Regions[index]
}
