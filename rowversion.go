package savorystep

// A RowVersion is the sequence number of the commit that last wrote a row. Version
// 0 means that the row does not exist. Versions can be compared only within one
// StoreEra.
type RowVersion uint64
