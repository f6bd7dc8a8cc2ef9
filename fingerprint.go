package savorystep

// A Fingerprint is a hash of the parts of a request that do not change when the
// caller sends it again. It identifies repeats of a request.
type Fingerprint uint64
