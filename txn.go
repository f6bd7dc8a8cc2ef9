package savorystep

// A Txn is a transaction: its writes are applied atomically if all conditions hold.
type Txn struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Writes     []Write     `json:"writes"`
}
