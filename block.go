package savorystep

import "net/netip"

// A Block is a block of clients: an IP prefix and the region it is served from
// by default.
type Block struct {
	Prefix netip.Prefix
	Home   Region
}
