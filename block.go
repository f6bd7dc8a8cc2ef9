package savorystep

import "net/netip"

// A Block is a group of clients that are steered together: all clients of an IP
// prefix.
type Block struct {
	Prefix netip.Prefix
	// Home is the region that serves the block by default.
	Home Region
}
