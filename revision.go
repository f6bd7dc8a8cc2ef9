package savorystep

// A Revision numbers the accepted changes of the configuration, from 1.
// Revision 0 is the empty configuration.
type Revision uint64
