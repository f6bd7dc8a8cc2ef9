package savorystep

// A BlockID identifies a block of clients. It is a hash of the block's prefix, so
// adding or removing other blocks does not change it.
type BlockID uint32
