package cmd

import (
	"net/netip"

	"savorystep"
	"savorystep/standin"
)

// blocksPerRegion is the number of IP blocks in each region of a site.
const blocksPerRegion = 64

// siteClientAddress returns the IP address of a client in a region. Clients with
// different numbers are in different blocks, up to blocksPerRegion. The result is
// invalid if the shape does not have the region.
func siteClientAddress(shape standin.Shape, region savorystep.Region, number int) netip.Addr {
	for i, shapeRegion := range shape.Regions {
		if shapeRegion == region {
			return netip.AddrFrom4([4]byte{10, byte(i + 1), byte(number % blocksPerRegion), 1})
		}
	}
	return netip.Addr{}
}

// siteBlocks returns the IP blocks of a site, each a /24 with its home region.
func siteBlocks(shape standin.Shape) []savorystep.Block {
	blocks := make([]savorystep.Block, 0, blocksPerRegion*len(shape.Regions))
	for _, region := range shape.Regions {
		for number := range blocksPerRegion {
			prefix := netip.PrefixFrom(siteClientAddress(shape, region, number), 24).Masked()
			blocks = append(blocks, savorystep.Block{Prefix: prefix, Home: region})
		}
	}
	return blocks
}

// siteCallerRegion returns the region of a caller. The text from is the IP address of
// the caller or the name of its region. The result is empty if the IP address is
// outside of the blocks of the site.
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
