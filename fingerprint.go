package savorystep

// A Fingerprint is a hash of the parts of a request that stay the same when
// its caller sends it again.
type Fingerprint uint64
