package peer

import "savorystep"

// ReaderOf returns the address that a relay asks, empty if it reads itself.
func ReaderOf(r *Relay) savorystep.Address {
	return r.reader()
}
