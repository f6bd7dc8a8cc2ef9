package savorystep

// A RowVersion is the commit sequence number of the last write of a row.
// Version 0 means that the row does not exist.
type RowVersion uint64
