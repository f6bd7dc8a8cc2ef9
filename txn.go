package savorystep

// A Txn is a transaction: its writes are applied atomically if all conditions hold.
type Txn struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Writes     []Write     `json:"writes"`
	// Era is the era of the versions in the conditions. In another era the
	// transaction is not applied. Era 0 is not checked.
	Era StoreEra `json:"era,omitempty"`
}
