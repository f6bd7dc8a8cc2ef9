package savorystep

// A Txn is a transaction: if all conditions hold, all writes are made.
type Txn struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Writes     []Write     `json:"writes"`
}
