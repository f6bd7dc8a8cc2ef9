package savorystep

// A BlockID is the index of a block of clients in the client-block table.
type BlockID uint32
