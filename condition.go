package savorystep

// A Condition requires that a row has the given version when a transaction
// commits. Version 0 requires that the row does not exist.
type Condition struct {
	Key     RowKey     `json:"key"`
	Version RowVersion `json:"version"`
}
