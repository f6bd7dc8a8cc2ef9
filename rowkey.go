package savorystep

// A RowKey is the key of a row in the platform's table.
type RowKey string
