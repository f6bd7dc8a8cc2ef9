package savorystep

// A BlockID names a block of clients. It is a hash of the block's prefix, so
// that it stays the same when other blocks come and go.
type BlockID uint32
