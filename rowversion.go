package savorystep

// A RowVersion is the sequence number of the commit that last wrote a row. Version
// 0 means that the row does not exist.
type RowVersion uint64
